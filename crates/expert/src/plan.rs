//! Result of planning.

use crate::Map;

/// Result of planning: a map worth switching to, or the current map.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The planned map; the current one if no move pays off.
    pub map: Map,
    /// Whether the planned map differs from the current one.
    pub is_change: bool,
    /// Number of experts that the ranks have to load.
    pub loads: u64,
    /// Number of these that no live rank held before.
    pub repairs: u64,
    /// Number of experts for which no slot is left. The group can't run without
    /// them.
    pub unplaced: u64,
    /// Expected step time of a window on the current map, in seconds; on the
    /// repaired map if repairs were needed.
    pub before: f64,
    /// Expected step time of a window on the planned map, in seconds.
    pub after: f64,
    /// Step time of a window if the load could be split perfectly evenly, in
    /// seconds.
    pub ideal: f64,
    /// Cost of the loads, in seconds of step time.
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
