//! How a call fails.

use std::fmt;

/// How a call of a target fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was written to the target.
    NotRun(String),
    /// The connection broke; the target may have crashed.
    Broken(String),
    /// The target said nothing for too long.
    Silent(String),
    /// The target ended its answer before it was whole.
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
