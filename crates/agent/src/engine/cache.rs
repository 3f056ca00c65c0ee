//! Changes of an engine's prefix cache.

use serde::Deserialize;

/// What changed in the prefix cache up to a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct CacheChange {
    /// Number of the last change.
    pub sequence: u64,
    /// Hashes of prompt prefixes that are held now.
    pub stored: Vec<u64>,
    /// Hashes of prompt prefixes that are no longer held.
    pub evicted: Vec<u64>,
}
