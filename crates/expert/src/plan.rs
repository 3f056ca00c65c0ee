//! A map worth switching to, or the one to stay on.

use crate::Map;

/// A map worth switching to, or the one to stay on.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The map; what was planned from if no move pays.
    pub map: Map,
    /// Whether that map is another one than before.
    pub is_change: bool,
    /// Experts that the ranks have to load.
    pub loads: u64,
    /// Of these, experts that no live rank held.
    pub repairs: u64,
    /// Experts for which no slot is left: the group can't run without them.
    pub unplaced: u64,
    /// Expected step time of a window on the present map, in seconds; of the
    /// repaired map if repairs were needed.
    pub before: f64,
    /// Expected step time of a window on the new map, in seconds.
    pub after: f64,
    /// Step time of a window if the load could be split as one likes.
    pub ideal: f64,
    /// What loading costs, in seconds of step time.
    pub cost: f64,
}

impl Plan {
    /// The plan that changes nothing.
    pub(crate) fn unchanged(map: &Map) -> Plan {
        Plan {
            map: map.clone(),
            is_change: false,
            loads: 0,
            repairs: 0,
            unplaced: 0,
            before: 0.0,
            after: 0.0,
            ideal: 0.0,
            cost: 0.0,
        }
    }
}
