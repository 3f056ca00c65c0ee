//! Bounds of an entry.

use cfg::Reader;
use route::SubsetSettings;

/// Bounds of an entry.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a request body.
    pub body: usize,
    /// Bytes of an answer that is not streamed.
    pub answer: usize,
    /// Bytes of one server-sent event.
    pub event: usize,
    /// Connections of callers at once.
    pub connections: usize,
    /// Requests that may wait for a place at one model or service.
    pub queue: usize,
    /// Attempts for one request.
    pub attempts: u32,
    /// Retries for each request.
    pub retry_ratio: f64,
    /// Retries beside those, which refill at one a second.
    pub retry_reserve: u32,
    /// A fixed part of each account's rates and concurrency for this entry; 0
    /// has control give out parts by use.
    pub account_part: f64,
    /// Targets of one model or service that this entry links at least; the same at
    /// all entries.
    pub subset_targets: usize,
    /// Entries that link each target at least; the same at all entries.
    pub subset_entries: usize,
    /// Bytes of an answer in flight from an agent.
    pub window: usize,
    /// Tokens assumed of an answer whose request names no maximum.
    pub answer_tokens: u32,
}

impl Limits {
    pub(crate) fn subset(&self) -> SubsetSettings {
        SubsetSettings {
            targets: self.subset_targets,
            entries: self.subset_entries,
        }
    }

    pub(crate) fn read(r: &mut Reader) -> Self {
        Limits {
            body: r.within("body", 4 << 20, 1..=32 << 20),
            answer: r.within("answer", 16 << 20, 1..=256 << 20),
            event: r.within("event", 1 << 20, 1024..=16 << 20),
            connections: r.within("connections", 10_000, 1..=1_000_000),
            queue: r.within("queue", 256, 0..=100_000),
            attempts: r.within("attempts", 3, 1..=20),
            retry_ratio: r.within("retry_ratio", 0.1, 0.0..=1.0),
            retry_reserve: r.within("retry_reserve", 10, 0..=10_000),
            account_part: r.within("account_part", 0.0, 0.0..=1.0),
            subset_targets: r.within("subset_targets", 6, 1..=10_000),
            subset_entries: r.within("subset_entries", 8, 1..=10_000),
            window: r.within("window", 256 << 10, 1024..=16 << 20),
            answer_tokens: r.within("answer_tokens", 256, 1..=1_000_000),
        }
    }
}
