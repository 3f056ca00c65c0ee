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
    /// assert!(RequestKind::Stream { resume: Resume::Anywhere, pause: None }.may_repeat());
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
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// Callers with the key of a client account, if the table has accounts.
    Accounts,
    /// Anyone.
    Anyone,
}
