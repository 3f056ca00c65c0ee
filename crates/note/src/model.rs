//! Models.

use cfg::Reader;
use serde_json::{Value, json};

use crate::name;

/// A model on offer, with its versions and adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// The name that callers give as `model`.
    pub name: String,
    /// Versions on offer; empty means whichever the targets announce.
    pub versions: Vec<String>,
    /// Adapters on offer.
    pub adapters: Vec<String>,
}

impl Model {
    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let name = name::read_model(r, "name");
        let versions = name::read_models(r, "versions");
        let adapters = name::read_models(r, "adapters");
        Some(Model {
            name: name?,
            versions,
            adapters,
        })
    }

    pub(crate) fn to_value(&self) -> Value {
        json!({
            "kind": "model",
            "name": self.name,
            "versions": self.versions,
            "adapters": self.adapters,
        })
    }
}
