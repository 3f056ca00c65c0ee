//! What may be done with a request.

use std::time::Duration;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Repeatable,
    /// It must run once at most.
    Once,
    /// Its answer is a stream of events.
    Stream {
        /// Whether a stream that broke off may go on at another target.
        resume: Resume,
        /// Longest pause between two events with which it is on time.
        pause: Option<Duration>,
    },
}

/// Whether a stream that broke off may go on at another target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// It may, after the last event that the caller has.
    Anywhere,
    /// It may not; such a stream must run once at most.
    Never,
}

impl RequestKind {
    /// Whether a request that may have run may run again.
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
    /// Callers with the key of a client account, where there are accounts.
    Accounts,
    /// Anyone.
    Anyone,
}
