//! The order of the address list for callers.

use crate::hash_bytes;

/// Orders entries for a caller, those at the least distance first.
///
/// Callers keep the list and start with its head, so at equal distance the
/// order depends on `seed`: were it the same for all, they would all meet at
/// one entry, and move together to the next when it leaves.
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
    entries.sort_by_cached_key(|entry| (distance(entry), place(seed, name(entry))));
}

fn place(seed: u64, name: &str) -> u64 {
    let seeded = seed.to_le_bytes();
    let bytes = seeded.iter().copied().chain(name.bytes());
    let hash = hash_bytes(bytes);
    // The last byte barely reaches the high bits; fold them in.
    hash ^ (hash >> 32)
}
