//! Prefix affinity by rendezvous hashing.

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

/// FNV-1a over the bytes of a name.
pub(crate) fn hash_name(name: &str) -> u64 {
    let start = 0xcbf2_9ce4_8422_2325_u64;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    name.bytes().fold(start, step)
}

/// The finalizer of `SplitMix64` (Steele, Lea and Flood, 2014).
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
