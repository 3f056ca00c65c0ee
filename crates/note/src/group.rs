//! Model groups.

use cfg::Reader;
use serde_json::{Value, json};

use crate::{Weights, name};

const MAX_RANKS: u32 = 1024;
const MAX_LAYERS: u32 = 512;
const MAX_EXPERTS: u32 = 4096;

/// A group of ranks that run one model in lock-step with a shared expert map.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// The group's name.
    pub name: String,
    /// The name of the model that the group runs.
    pub model: String,
    /// The number of ranks.
    pub ranks: u32,
    /// The number of layers with experts.
    pub layers: u32,
    /// The number of experts in each layer.
    pub experts: u32,
    /// Slots per rank and layer for additional expert replicas, beyond an even
    /// distribution of the experts.
    pub spare_slots: u32,
    /// Weights of step-time skew and expert moves.
    pub weights: Weights,
}

impl Group {
    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let name = name::read(r, "name");
        let model = name::read_model(r, "model");
        let ranks = read_count(r, "ranks", MAX_RANKS);
        let layers = read_count(r, "layers", MAX_LAYERS);
        let experts = read_count(r, "experts", MAX_EXPERTS);
        let spare_slots = r.within("spare_slots", 0, 0..=MAX_EXPERTS);
        let weights = Weights::read(&mut r.section("weights"));
        Some(Group {
            name: name?,
            model: model?,
            ranks: ranks?,
            layers: layers?,
            experts: experts?,
            spare_slots,
            weights,
        })
    }

    pub(crate) fn to_value(&self) -> Value {
        json!({
            "kind": "group",
            "name": self.name,
            "model": self.model,
            "ranks": self.ranks,
            "layers": self.layers,
            "experts": self.experts,
            "spare_slots": self.spare_slots,
            "weights": self.weights.to_value(),
        })
    }
}

fn read_count(r: &mut Reader, key: &str, max: u32) -> Option<u32> {
    let count = r.required(key)?;
    if (1..=max).contains(&count) {
        return Some(count);
    }
    r.finding(key, format!("must lie between 1 and {max}, is {count}"));
    None
}
