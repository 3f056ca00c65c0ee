//! Optional features that a target supports.

/// Optional features that a target can declare; undeclared ones are not supported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Capability {
    /// Resumes a stream after a number of events.
    Resume,
    /// Cancels running requests.
    Cancel,
    /// Honours priorities.
    Priority,
    /// Rejects commands with an outdated fencing number.
    ChecksFencing,
    /// Exports and imports KV cache.
    ExportsKv,
}
