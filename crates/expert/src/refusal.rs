//! Reasons for refusing a decision.

use std::fmt::{self, Display};

/// Reason for refusing a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// Another coordinator has been opened since, or none was ever opened.
    Fencing,
    /// The version isn't the next one.
    Version,
    /// The barrier step isn't after that of the last committed map.
    Barrier,
    /// A commit without a map.
    NoMap,
}

impl Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::Fencing => "fencing number is not the current one",
            Refusal::Version => "version is not the next one",
            Refusal::Barrier => "barrier step is not beyond the last committed one",
            Refusal::NoMap => "commit without a map",
        })
    }
}
