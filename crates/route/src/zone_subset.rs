//! The targets that an entry prefers in its availability zone.

/// Number of entries that prefer each target.
const ENTRIES_PER_TARGET: usize = 2;

/// The targets that one entry prefers among those of its availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSubset {
    /// Positions in the list of targets of the zone.
    pub targets: Vec<usize>,
    /// Number of entries that prefer each of them, including this one.
    pub entries_per_target: u32,
}

/// Computes the subset of the entry at position `own` among `entries` entries and
/// `targets` targets of one availability zone, both in an order that is the same at
/// all entries.
///
/// An entry learns the load of a target from its answers. With dozens of entries and
/// hundreds of targets, each pair exchanges a request every few seconds only, and
/// entries would choose among targets of unknown load. Every target is in the subsets
/// of the same number of entries, so that an even load stays even.
///
/// ```
/// use route::zone_subset;
///
/// let subset = zone_subset(6, 8, 40);
/// assert_eq!(subset.targets.len(), 10);
/// assert_eq!(subset.entries_per_target, 2);
/// assert_eq!(zone_subset(0, 2, 4).targets, [0, 1, 2, 3]);
/// ```
#[must_use]
pub fn zone_subset(own: usize, entries: usize, targets: usize) -> ZoneSubset {
    let entries = entries.max(1);
    let shared_by = ENTRIES_PER_TARGET.min(entries);
    let length = (targets * shared_by).div_ceil(entries);
    let start = own * targets / entries;
    let positions = (0..length).map(|offset| (start + offset) % targets.max(1));
    let shared_by = (length * entries).div_ceil(targets.max(1));
    ZoneSubset {
        targets: positions.collect(),
        entries_per_target: u32::try_from(shared_by).unwrap_or(u32::MAX),
    }
}
