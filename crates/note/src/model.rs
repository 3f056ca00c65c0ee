//! Models.

use cfg::Reader;
use serde_json::{Value, json};

use crate::name;

/// A model with its versions and adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// The name that callers pass as `model`.
    pub name: String,
    /// Available versions; if empty, any version that targets announce.
    pub versions: Vec<String>,
    /// Available adapters.
    pub adapters: Vec<String>,
}

impl Model {
    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let name = name::read_model(r, "name");
        let versions = name::read_model_list(r, "versions");
        let adapters = name::read_model_list(r, "adapters");
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
