//! Why a request is not let in.

use std::time::Duration;

/// A refusal, with when asking again makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The account's rate in requests is used up.
    RequestRate,
    /// The account's rate in tokens is used up.
    TokenRate,
    /// The account runs as many requests as it may at once.
    Concurrency,
    /// The queue is full of requests that go first.
    Shed,
    /// The deadline passed while the request waited for a place.
    Expired,
}

impl RefusalReason {
    /// A short name for metrics.
    ///
    /// ```
    /// assert_eq!(route::RefusalReason::TokenRate.name(), "token_rate");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            RefusalReason::RequestRate => "request_rate",
            RefusalReason::TokenRate => "token_rate",
            RefusalReason::Concurrency => "concurrency",
            RefusalReason::Shed => "shed",
            RefusalReason::Expired => "expired",
        }
    }
}
