//! Limits of an entry.

use cfg::Reader;
use route::SubsetSettings;

/// Limits of an entry.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum size of a request body in bytes.
    pub body: usize,
    /// Maximum size of an unstreamed answer in bytes.
    pub answer: usize,
    /// Maximum size of a server-sent event in bytes.
    pub event: usize,
    /// Maximum number of concurrent connections of callers.
    pub connections: usize,
    /// Maximum number of requests that wait for capacity of one model or service.
    pub queue: usize,
    /// Maximum number of attempts for a request.
    pub attempts: u32,
    /// Retries that each request adds to the retry budget.
    pub retry_ratio: f64,
    /// Retries that the budget holds beyond those, refilled at one per second.
    pub retry_reserve: u32,
    /// Fixed fraction of each account's rates and concurrency that this entry may use;
    /// with 0, control grants fractions by use.
    pub account_part: f64,
    /// Minimum number of targets of one model or service to which this entry keeps
    /// links. Must be the same at all entries.
    pub subset_targets: usize,
    /// Minimum number of entries that keep a link to each target. Must be the same at
    /// all entries.
    pub subset_entries: usize,
    /// Maximum number of unacknowledged bytes of an answer that an agent sends.
    pub window: usize,
    /// Answer tokens assumed for a request that sets no maximum.
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
