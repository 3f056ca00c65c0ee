//! Withdrawal of a catalogue item.

use cfg::Reader;
use serde_json::{Value, json};

use crate::{Kind, name};

/// The kind and name of an item to remove from the catalogue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Withdrawal {
    /// The kind of the item.
    pub kind: Kind,
    /// The name of the item.
    pub name: String,
}

impl Withdrawal {
    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let kind = Kind::read(r)?;
        let name = name::read_model(r, "name")?;
        Some(Withdrawal { kind, name })
    }

    pub(crate) fn to_value(&self) -> Value {
        json!({"kind": self.kind.as_str(), "name": self.name})
    }
}
