//! Model groups.

use cfg::Reader;
use serde_json::{Value, json};

use crate::{Weights, name};

const MOST_RANKS: u32 = 1024;
const MOST_LAYERS: u32 = 512;
const MOST_EXPERTS: u32 = 4096;

/// A group of ranks that run one model in lock-step on an expert map.
#[derive(Debug, Clone, PartialEq)]
pub struct Group {
    /// The group's name.
    pub name: String,
    /// The model that it runs.
    pub model: String,
    /// Number of ranks.
    pub ranks: u32,
    /// Number of layers with experts.
    pub layers: u32,
    /// Number of experts in each layer.
    pub experts: u32,
    /// Slots on each rank for copies of experts, beyond its even part.
    pub spare_slots: u32,
    /// Step-time skew against moves of experts.
    pub weights: Weights,
}

impl Group {
    pub(crate) fn read(r: &mut Reader) -> Option<Self> {
        let name = name::read(r, "name");
        let model = name::read_model(r, "model");
        let ranks = count(r, "ranks", MOST_RANKS);
        let layers = count(r, "layers", MOST_LAYERS);
        let experts = count(r, "experts", MOST_EXPERTS);
        let spare_slots = r.within("spare_slots", 0, 0..=MOST_EXPERTS);
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

fn count(r: &mut Reader, key: &str, most: u32) -> Option<u32> {
    let count = r.required(key)?;
    if (1..=most).contains(&count) {
        return Some(count);
    }
    r.finding(key, format!("must lie between 1 and {most}, is {count}"));
    None
}
