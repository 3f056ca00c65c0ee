//! Refusals of requests by admission.

use std::time::Duration;

/// A refusal, with the time after which a retry makes sense.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time after which to retry.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The account has reached its request rate limit.
    RequestRate,
    /// The account has reached its token rate limit.
    TokenRate,
    /// The account has reached its concurrency limit.
    Concurrency,
    /// The queue is full and the request was the first to shed.
    Shed,
    /// The request waited too long, or past its deadline.
    Expired,
}

impl RefusalReason {
    /// Name of the reason in metrics.
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
