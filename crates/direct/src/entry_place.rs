//! Where an entry stands among the others, which decides what it may send to cold targets.

use member::{Evacuation, hash_name, mix};
use node::KnownTarget;
use route::ColdShare;
use std::collections::BTreeSet;
use std::time::Instant;
use table::ColdStart;

/// An entry among the entries of its availability zone.
pub(crate) struct EntryPlace<'a> {
    pub(crate) name: &'a str,
    pub(crate) zone: &'a str,
    /// The entries of the zone, as far as they are known.
    pub(crate) zone_entries: &'a BTreeSet<String>,
}

impl EntryPlace<'_> {
    /// The position of this entry among those of the zone; `None` if they are not known.
    pub(crate) fn position(&self) -> Option<usize> {
        self.zone_entries.iter().position(|name| name == self.name)
    }

    /// What this entry may send to a target while it is cold. Only entries of the
    /// target's zone send there. All of them use the same order, which differs between
    /// targets.
    pub(crate) fn cold_share(&self, known: &KnownTarget, cold_start: &ColdStart) -> ColdShare {
        if known.report.zone != self.zone || self.position().is_none() {
            return ColdShare::NONE;
        }
        let target = hash_name(&known.report.id);
        let order = |entry: &str| (mix(hash_name(entry) ^ target), entry.to_owned());
        let own = order(self.name);
        let rank = self.zone_entries.iter().filter(|name| order(name) < own);
        let tolerated = cold_start.requests_per_second;
        ColdShare::new(tolerated, rank.count(), self.zone_entries.len())
    }
}

/// Until when a target counts as cold. After an evacuation it may have turned cold, which
/// its check-ins tell only later.
pub(crate) fn cold_until(known: &KnownTarget, cold_start: &ColdStart) -> Option<Instant> {
    let evacuated = match known.evacuation {
        Evacuation::Finished(at) => Some(at + cold_start.duration),
        Evacuation::Never | Evacuation::Active => None,
    };
    evacuated.max(known.cold_until)
}
