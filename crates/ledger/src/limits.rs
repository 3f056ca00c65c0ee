//! Bounds of a ledger.

/// How much a ledger holds and for how long.
///
/// The limits are part of the replicated state: they travel with a snapshot,
/// since replicas with other limits would come to other states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Records at most.
    pub max_records: usize,
    /// Bytes of all records at most, room for the answers of running claims
    /// included.
    pub max_bytes: usize,
    /// Bytes of one answer at most; a larger one is recorded as unknown.
    pub max_answer_bytes: usize,
    /// Calls at most that run, or of which nobody proved that they ended.
    pub max_unproved: usize,
    /// Time in milliseconds that the record of a call that ended is kept.
    pub keep_ms: u64,
    /// Time in milliseconds after which a running claim becomes unknown.
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
