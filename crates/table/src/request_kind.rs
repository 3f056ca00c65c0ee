//! Repeatability of requests, and access to routes.

use std::time::Duration;

/// Whether and how a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// The request is idempotent and may run more than once.
    Repeatable,
    /// The request must run at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether an interrupted stream may be resumed on another target.
        resume: Resume,
        /// Longest pause between two events that still counts as on time.
        pause: Option<Duration>,
        /// Silence, also before the first event, after which callers leave; none if they
        /// wait until their deadline.
        max_silence: Option<Duration>,
    },
}

/// Whether an interrupted stream may be resumed on another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// Resumed after the last event that the caller has received.
    Anywhere,
    /// Not resumed; the request must run at most once.
    Never,
}

impl RequestKind {
    /// Whether a request that may already have run may be sent again.
    ///
    /// ```
    /// use table::{RequestKind, Resume};
    ///
    /// let resume = Resume::Anywhere;
    /// assert!(RequestKind::Stream { resume, pause: None, max_silence: None }.may_repeat());
    /// assert!(!RequestKind::Once.may_repeat());
    /// ```
    #[must_use]
    pub fn may_repeat(self) -> bool {
        match self {
            RequestKind::Repeatable => true,
            RequestKind::Once => false,
            RequestKind::Stream { resume, .. } => resume == Resume::Anywhere,
        }
    }

    /// Silence after which callers leave; none if they wait until their deadline.
    ///
    /// ```
    /// assert!(table::RequestKind::Once.max_silence().is_none());
    /// ```
    #[must_use]
    pub fn max_silence(self) -> Option<Duration> {
        match self {
            RequestKind::Stream { max_silence, .. } => max_silence,
            RequestKind::Repeatable | RequestKind::Once => None,
        }
    }
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Callers with the key of a client account, if the table has accounts.
    Accounts,
    /// Anyone.
    Anyone,
}
