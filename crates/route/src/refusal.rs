//! Why a request is not let in.

use std::time::Duration;

/// A refusal, with when asking again makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
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

impl Reason {
    /// A short name for metrics.
    ///
    /// ```
    /// assert_eq!(route::Reason::TokenRate.name(), "token_rate");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Reason::RequestRate => "request_rate",
            Reason::TokenRate => "token_rate",
            Reason::Concurrency => "concurrency",
            Reason::Shed => "shed",
            Reason::Expired => "expired",
        }
    }
}
