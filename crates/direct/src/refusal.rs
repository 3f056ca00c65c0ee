//! Why a caller gets no answer of a target.

use std::fmt;
use std::time::Duration;

/// Why a caller gets no answer of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// This entry knows no route table yet.
    NoTable,
    /// No route leads there.
    NoRoute,
    /// The route needs the key of a client account.
    UnknownKey,
    /// The service has no target that takes work.
    NoTarget,
    /// All targets of the service are full.
    Full,
    /// All targets that were tried said that they did not run it.
    Declined,
    /// It was sent to a target and nobody can say what became of it.
    Lost,
    /// The time was over, and it was sent to a target.
    TimedOut,
    /// The time was over before it was sent to any target.
    Expired,
}

impl Reason {
    /// Whether the request surely has not run and never will.
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
            Reason::Lost => "the target's answer is lost",
            Reason::TimedOut => "no answer in time",
            Reason::Expired => "the time was over before it could be sent",
        })
    }
}

/// Why a caller gets no answer of a target, and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When asking again makes sense.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    pub(crate) fn new(reason: Reason) -> Refusal {
        Refusal {
            reason,
            retry_after: None,
        }
    }

    pub(crate) fn after(reason: Reason, retry_after: Duration) -> Refusal {
        Refusal {
            reason,
            retry_after: Some(retry_after),
        }
    }
}
