//! What an engine says it is and can do.

use serde::Deserialize;

/// What an engine says it is and can do; what it doesn't say, it can't.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "each is a field of the engine's document"
)]
pub struct Profile {
    /// Models that it serves.
    pub models: Vec<String>,
    /// Adapters that it serves.
    pub adapters: Vec<String>,
    /// Versions that it serves.
    pub versions: Vec<String>,
    /// Ranks that it runs.
    pub ranks: Vec<u32>,
    /// Whether a stream can begin at a later event.
    pub resume: bool,
    /// Whether a request can be cancelled by order.
    pub cancel: bool,
    /// Whether it honours priorities.
    pub priority: bool,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it exports key-value cache.
    pub exports_kv: bool,
    /// Differs after each restart, if it is told.
    pub instance: String,
}
