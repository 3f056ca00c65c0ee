//! One step as one engine ran it.

/// One step as one engine ran it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedStep {
    /// Number of the step.
    pub step: u64,
    /// Ranks of the engine.
    pub ranks: Vec<u32>,
    /// Version of the expert map.
    pub version: u64,
    /// Digest of the map; empty for the one that the engine was started with.
    pub map: String,
}
