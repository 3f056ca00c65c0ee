//! Availability zones whose targets get no requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Whether the targets of a zone get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evacuation {
    /// They do, and the zone has not been evacuated since this node started.
    Never,
    /// They get none.
    Active,
    /// They do again since this time.
    Finished(Instant),
}

/// The evacuated zones that a node knows of.
///
/// ```
/// use member::{EvacuatedZones, Evacuation};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut evacuated = EvacuatedZones::default();
/// assert!(evacuated.replace(1, vec!["celje".to_owned()], now));
/// assert_eq!(evacuated.of_zone("celje"), Evacuation::Active);
/// assert!(evacuated.replace(2, Vec::new(), now));
/// assert_eq!(evacuated.of_zone("celje"), Evacuation::Finished(now));
/// assert!(!evacuated.replace(1, vec!["celje".to_owned()], now));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EvacuatedZones {
    number: u64,
    zones: BTreeSet<String>,
    finished: BTreeMap<String, Instant>,
}

impl EvacuatedZones {
    /// Replaces the zones if `number` is higher than that of the known ones. The number 0
    /// is that of a state that may not be the newest; it replaces only another one of
    /// that kind. Returns whether anything was replaced.
    pub fn replace(&mut self, number: u64, zones: Vec<String>, now: Instant) -> bool {
        let zones: BTreeSet<String> = zones.into_iter().collect();
        let is_provisional = number == 0 && self.number == 0 && self.zones != zones;
        if number <= self.number && !is_provisional {
            return false;
        }
        let finished = self.zones.difference(&zones);
        self.finished
            .extend(finished.map(|zone| (zone.clone(), now)));
        self.finished.retain(|zone, _| !zones.contains(zone));
        (self.number, self.zones) = (number, zones);
        true
    }

    /// Whether the targets of a zone get requests.
    ///
    /// ```
    /// # use member::{EvacuatedZones, Evacuation};
    /// assert_eq!(EvacuatedZones::default().of_zone("celje"), Evacuation::Never);
    /// ```
    #[must_use]
    pub fn of_zone(&self, zone: &str) -> Evacuation {
        if self.zones.contains(zone) {
            return Evacuation::Active;
        }
        let finished = self.finished.get(zone);
        finished.map_or(Evacuation::Never, |at| Evacuation::Finished(*at))
    }
}
