//! Prefix affinity by rendezvous hashing.

use member::mix;

use crate::TargetKey;

/// Number of slots that prefixes are hashed to.
const SLOTS: usize = 256;

/// Maps each hash slot to the target with the highest rendezvous weight.
///
/// The table is computed when the set of targets changes, so a choice costs one
/// lookup whatever the number of targets. A change only moves the slots of the
/// targets that were added or removed (Thaler and Ravishankar, 1998).
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    slots: Vec<TargetKey>,
}

impl Affinity {
    /// Computes the table from targets and the hashes of their names.
    pub(crate) fn new(targets: &[(TargetKey, u64)]) -> Self {
        let mut slots = Vec::new();
        for slot in 0..SLOTS {
            let weight = |name: u64| mix(name ^ mix(slot as u64 + 1));
            let best = targets.iter().max_by_key(|(_, name)| weight(*name));
            slots.extend(best.map(|(key, _)| *key));
        }
        Affinity { slots }
    }

    pub(crate) fn target(&self, hash: u64) -> Option<TargetKey> {
        if self.slots.is_empty() {
            return None;
        }
        let slot = mix(hash) % self.slots.len() as u64;
        usize::try_from(slot)
            .ok()
            .and_then(|slot| self.slots.get(slot).copied())
    }
}
