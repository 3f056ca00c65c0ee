//! Limits of a ledger.

/// Size and time limits of a ledger.
///
/// The limits are part of the replicated state and of its snapshots, because
/// replicas with different limits would reach different states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of records.
    pub max_records: usize,
    /// Maximum size of all records in bytes, including the space reserved for
    /// the answers of running claims.
    pub max_bytes: usize,
    /// Maximum size of one answer in bytes. If an answer is larger, the outcome
    /// is recorded as unknown.
    pub max_answer_bytes: usize,
    /// Maximum number of calls that are running or not proved to have ended.
    pub max_unproved: usize,
    /// Time for which the record of an ended call is kept, in milliseconds.
    pub keep_ms: u64,
    /// Time after which the outcome of a running claim becomes unknown, in
    /// milliseconds.
    pub running_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        const HOUR_MS: u64 = 60 * 60 * 1000;
        Limits {
            max_records: 100_000,
            max_bytes: 64 << 20,
            max_answer_bytes: 64 << 10,
            max_unproved: 10_000,
            keep_ms: HOUR_MS,
            running_ms: HOUR_MS / 4,
        }
    }
}
