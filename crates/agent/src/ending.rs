//! How an attempt ended.

use wire::proto::End;

use crate::engine::{Failure, Usage};

/// How an attempt ended, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ending {
    /// How it ended.
    pub end: End,
    /// Why it ended, for logs and callers.
    pub reason: String,
    /// Token counts, if the target reported them.
    pub usage: Option<Usage>,
}

impl Ending {
    /// An ending with a reason and no token counts.
    ///
    /// ```
    /// let ending = agent::Ending::new(wire::proto::End::Deadline, "out of time");
    /// assert_eq!(ending.reason, "out of time");
    /// ```
    #[must_use]
    pub fn new(end: End, reason: impl Into<String>) -> Self {
        Ending {
            end,
            reason: reason.into(),
            usage: None,
        }
    }

    /// Name of the ending in metrics and logs.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self.end {
            End::Unspecified => "unspecified",
            End::Whole => "whole",
            End::NotRun => "not_run",
            End::Lost => "lost",
            End::Cancelled => "cancelled",
            End::Deadline => "deadline",
            End::Crashed => "crashed",
            End::Unconfirmed => "unconfirmed",
        }
    }
}

impl From<Failure> for Ending {
    fn from(failure: Failure) -> Self {
        let end = match failure {
            Failure::NotRun(_) => End::NotRun,
            Failure::Broken(_) | Failure::Silent(_) | Failure::EndedEarly(_) => End::Lost,
        };
        Ending::new(end, failure.to_string())
    }
}
