//! The effect of recording a report.

/// The effect of recording a report of a target or an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The content changed, so that others have to be notified at once.
    Changed,
    /// Only the time of the last report changed.
    Refreshed,
    /// The report was older than what is known and was ignored.
    Stale,
}
