//! How a call to a target fails.

use std::fmt;

/// How a call to a target fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was written to the target.
    NotRun(String),
    /// The connection broke; the target may have crashed.
    Broken(String),
    /// The target sent nothing within the time-out.
    Silent(String),
    /// The target ended its response before it was complete.
    EndedEarly(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::NotRun(reason) => write!(f, "not run: {reason}"),
            Failure::Broken(reason) => write!(f, "connection broke: {reason}"),
            Failure::Silent(reason) => write!(f, "target silent: {reason}"),
            Failure::EndedEarly(reason) => write!(f, "answer ended early: {reason}"),
        }
    }
}
