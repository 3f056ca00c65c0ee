//! What a note takes off the offer.

use cfg::Reader;
use serde_json::{Value, json};

use crate::{Kind, name};

/// Kind and name of something that is no longer on offer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Withdrawal {
    /// The kind of what is withdrawn.
    pub kind: Kind,
    /// Its name.
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
