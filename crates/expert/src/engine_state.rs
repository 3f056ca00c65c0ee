//! What an engine tells of its maps.

/// What an engine tells of its maps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// The last step that ran.
    pub step: u64,
    /// Version of the map in use; 0 for the one that it was started with.
    pub version: u64,
    /// Version that is being loaded.
    pub loading: Option<u64>,
    /// Version that is loaded and not decided.
    pub staged: Option<u64>,
    /// Version that comes into use at a later step.
    pub next: Option<u64>,
    /// The step that does not run until the outcome is known.
    pub held: Option<u64>,
    /// Whether it runs no step after a start until it has joined.
    pub waits: bool,
    /// Whether it waits now.
    pub waiting: bool,
    /// Number of the formation in which it steps with the other engines of
    /// its group; `None` between two, always 0 if the engine tells none.
    pub formation: Option<u64>,
}
