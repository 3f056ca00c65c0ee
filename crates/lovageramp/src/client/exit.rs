//! Exit codes.

use std::process::ExitCode;

/// How the client ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done, or in the wanted state already.
    Done,
    /// Refused, or there are findings.
    Refused,
    /// The command line is wrong.
    Usage,
    /// No host answered.
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
