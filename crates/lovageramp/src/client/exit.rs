//! Exit codes.

use std::process::ExitCode;

/// Result of a command, reported as the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded, or there was nothing to change.
    Done,
    /// The request was refused, or there are findings.
    Refused,
    /// The command line is invalid.
    Usage,
    /// No host responded.
    Unreachable,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(match exit {
            Exit::Done => 0,
            Exit::Refused => 1,
            Exit::Usage => 2,
            Exit::Unreachable => 3,
        })
    }
}
