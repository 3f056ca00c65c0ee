//! A step completed by one engine.

/// A step completed by one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedStep {
    /// Step number.
    pub step: u64,
    /// Ranks of the engine.
    pub ranks: Vec<u32>,
    /// Version of the expert map.
    pub version: u64,
    /// Digest of the map; empty for the map in use at the start.
    pub map: String,
}
