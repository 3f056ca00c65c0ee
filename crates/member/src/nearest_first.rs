//! Order of the address list for callers.

use crate::hash_bytes;

/// Sorts entries for a caller by distance, nearest first.
///
/// Callers cache the list and use its first element, so entries at equal
/// distance are ordered by `seed`. With one order for all, all callers would
/// use the same entry and move together to the next one when it leaves.
///
/// ```
/// let mut entries = [("entry-1", "celje"), ("entry-2", "ptuj")];
/// let distance = |entry: &(&str, &str)| u32::from(entry.1 != "ptuj");
/// member::nearest_first(&mut entries, 7, distance, |entry| entry.0);
/// assert_eq!(entries[0].0, "entry-2");
/// ```
pub fn nearest_first<T>(
    entries: &mut [T],
    seed: u64,
    distance: impl Fn(&T) -> u32,
    name: impl Fn(&T) -> &str,
) {
    entries.sort_by_cached_key(|entry| (distance(entry), tie_break(seed, name(entry))));
}

fn tie_break(seed: u64, name: &str) -> u64 {
    let seeded = seed.to_le_bytes();
    let bytes = seeded.iter().copied().chain(name.bytes());
    let hash = hash_bytes(bytes);
    // The last byte hardly affects the high bits, so fold them into the low ones.
    hash ^ (hash >> 32)
}
