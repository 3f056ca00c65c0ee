//! Limits of an agent.

use cfg::Reader;

use crate::Retention;

/// Limits on running work, memory and connections.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of running attempts.
    pub concurrent_attempts: usize,
    /// Bytes of an answer that may be sent beyond the acknowledged offset.
    pub window_bytes: usize,
    /// Bytes held for one answer.
    pub answer_bytes: usize,
    /// Bytes held for all answers; further attempts are refused above it.
    pub total_bytes: usize,
    /// Attempts remembered as barred or forgotten, for each kind of tombstone.
    pub remembered_attempts: usize,
    /// Maximum number of open links.
    pub links: usize,
    /// Maximum number of idle connections to the target.
    pub idle_connections: usize,
}

impl Limits {
    /// Bytes held for one answer. An answer that is dropped as it is acknowledged
    /// gets at most its share of the total; otherwise callers that stop reading
    /// would use up the total, and the agent would refuse all other attempts.
    pub(crate) fn held_limit(&self, retention: Retention) -> usize {
        match retention {
            Retention::UntilRecorded => self.answer_bytes,
            Retention::UntilAcknowledged => self.answer_bytes.min(
                self.window_bytes
                    .max(self.total_bytes / self.concurrent_attempts),
            ),
        }
    }

    pub(crate) fn read(r: &mut Reader) -> Self {
        const MIB: usize = 1 << 20;
        Limits {
            concurrent_attempts: r.within("concurrent", 256, 1..=100_000),
            window_bytes: r.within("window_bytes", 256 << 10, 1024..=64 * MIB),
            answer_bytes: r.within("answer_bytes", 4 * MIB, 4096..=256 * MIB),
            total_bytes: r.within("buffers_bytes", 64 * MIB, MIB..=16_384 * MIB),
            remembered_attempts: r.within("remembered", 200_000, 100..=10_000_000),
            links: r.within("links", 1024, 4..=100_000),
            idle_connections: r.within("kept_connections", 64, 0..=100_000),
        }
    }
}
