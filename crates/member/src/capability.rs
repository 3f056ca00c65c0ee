//! What a target says that it can do.

/// What a target says that it can do; what it doesn't say, it can't.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Capability {
    /// Resumes a stream after a number of events.
    Resume,
    /// Cancels a request that runs.
    Cancel,
    /// Honours priorities.
    Priority,
    /// Refuses orders with an old fencing number.
    ChecksFencing,
    /// Exports and imports KV cache.
    ExportsKv,
}
