//! What may be done with a request.

use std::time::Duration;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
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

impl Kind {
    /// Whether a request that may have run may run again.
    ///
    /// ```
    /// use table::{Kind, Resume};
    ///
    /// assert!(Kind::Stream { resume: Resume::Anywhere, pause: None }.repeats());
    /// assert!(!Kind::Once.repeats());
    /// ```
    #[must_use]
    pub fn repeats(self) -> bool {
        match self {
            Kind::Repeatable => true,
            Kind::Once => false,
            Kind::Stream { resume, .. } => resume == Resume::Anywhere,
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
