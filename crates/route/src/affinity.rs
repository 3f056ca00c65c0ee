//! Prefix affinity by rendezvous hashing.

use member::mix;

use crate::TargetKey;

/// Slots that prefixes are hashed to.
const SLOTS: usize = 256;

/// For each slot the target with the highest rendezvous weight.
///
/// Computed when the targets change, so that a choice costs one look-up
/// however many targets there are. A change moves only the slots of the
/// targets that came or went (Thaler and Ravishankar, 1998).
#[derive(Debug, Default)]
pub(crate) struct Affinity {
    slots: Vec<TargetKey>,
}

impl Affinity {
    /// Computes the table over targets and the hashes of their names.
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
