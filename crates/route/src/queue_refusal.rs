//! Refusals of a request queue.

use std::time::Duration;

/// Shortest time after which a refused caller should come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Why a [`RequestQueue`](crate::RequestQueue) refused a request, and when its
/// caller should come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Why the request was refused.
    pub reason: QueueRefusalReason,
    /// After what time the request would be likely to start; never zero.
    pub retry_after: Duration,
}

impl QueueRefusal {
    pub(crate) fn new(reason: QueueRefusalReason, predicted_wait: Duration) -> Self {
        QueueRefusal {
            reason,
            retry_after: predicted_wait.max(MIN_RETRY_AFTER),
        }
    }
}

/// Why a [`RequestQueue`](crate::RequestQueue) refused a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QueueRefusalReason {
    /// The queue is full of requests that come before this one.
    Full,
    /// The account fills its share of the queue while others wait.
    AccountShare,
    /// A more urgent request, or one of an account with fewer waiting requests,
    /// took its place in the full queue.
    Displaced,
    /// Its predicted start is after the latest useful one.
    Unservable,
    /// Its latest useful start has passed.
    Expired,
}

impl QueueRefusalReason {
    /// Name of the reason in metrics.
    ///
    /// ```
    /// assert_eq!(route::QueueRefusalReason::AccountShare.name(), "account_share");
    /// ```
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            QueueRefusalReason::Full => "full",
            QueueRefusalReason::AccountShare => "account_share",
            QueueRefusalReason::Displaced => "displaced",
            QueueRefusalReason::Unservable => "unservable",
            QueueRefusalReason::Expired => "expired",
        }
    }
}
