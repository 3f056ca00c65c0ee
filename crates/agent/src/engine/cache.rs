//! Changes of an engine's prefix cache.

use serde::Deserialize;

/// Changes of the prefix cache up to a sequence number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct CacheChange {
    /// Number of the last change.
    pub sequence: u64,
    /// Hashes of prompt prefixes that were added.
    pub stored: Vec<u64>,
    /// Hashes of prompt prefixes that were removed.
    pub evicted: Vec<u64>,
}
