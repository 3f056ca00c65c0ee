//! Models and capabilities of an engine.

use serde::Deserialize;

/// Models and capabilities that an engine reports; a capability that it doesn't
/// report counts as missing.
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
    /// Whether a stream can be resumed at a later event.
    pub resume: bool,
    /// Whether a running request can be cancelled.
    pub cancel: bool,
    /// Whether it honours priorities.
    pub priority: bool,
    /// Whether it refuses commands with an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether it exports its key-value cache.
    pub exports_kv: bool,
    /// Id of the instance, new after each restart; empty if the engine reports
    /// none.
    pub instance: String,
}
