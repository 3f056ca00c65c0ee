//! Why a request got no response from a target.

use std::fmt;
use std::time::Duration;

/// Why a request got no response from a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// This entry has not received a route table yet.
    NoTable,
    /// No route matches the host and path.
    NoRoute,
    /// The route needs the key of a client account.
    UnknownKey,
    /// The service has no available target.
    NoTarget,
    /// All targets of the service are full.
    Full,
    /// Every target that was tried reported that it did not run the request.
    Declined,
    /// Targets crash when they run the request.
    Quarantined,
    /// The request was sent to a target, and it is unknown whether it ran.
    Lost,
    /// The deadline passed after the request was sent to a target.
    TimedOut,
    /// The deadline passed before the request was sent to any target.
    Expired,
    /// This entry ends before the request was sent to any target.
    ShuttingDown,
}

impl Reason {
    /// Whether the request has certainly not run and never will.
    #[must_use]
    pub fn not_run(self) -> bool {
        !matches!(self, Reason::Lost | Reason::TimedOut)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NoTable => "no route table is known here yet",
            Reason::NoRoute => "no route leads there",
            Reason::UnknownKey => "the key of a client account is needed",
            Reason::NoTarget => "no target takes work",
            Reason::Full => "all targets are full",
            Reason::Declined => "the targets did not run it",
            Reason::Quarantined => "targets crash when they run it",
            Reason::Lost => "the target's answer is lost",
            Reason::TimedOut => "no answer in time",
            Reason::Expired => "the time was over before it could be sent",
            Reason::ShuttingDown => "this entry is shutting down",
        })
    }
}

/// Why a request got no response from a target, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Delay after which the caller should retry, if a retry makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn new(reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: None,
        }
    }

    pub(crate) fn with_retry_after(reason: Reason, retry_after: Duration) -> Refusal {
        Refusal {
            reason,
            retry_after: Some(retry_after),
        }
    }
}
