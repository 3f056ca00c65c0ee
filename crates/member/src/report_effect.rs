//! What hearing of something changed.

/// What hearing of a target or an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// Something that others have to be told at once.
    Changed,
    /// Only that it was heard again.
    Refreshed,
    /// Nothing: it was older than what is known.
    Stale,
}
