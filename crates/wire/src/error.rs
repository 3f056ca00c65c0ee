//! What can go wrong on a link.

use std::{fmt, io};

/// A result with the crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Why a link could not be made or a message not be exchanged.
#[derive(Debug)]
pub enum Error {
    /// The link was down before the message was handed to it: nothing of it left
    /// this process.
    NotSent,
    /// The link went down after the message was handed to it; the other side may or
    /// may not have it.
    Lost,
    /// No reply came in time; the other side may or may not have the message.
    TimedOut,
    /// The other side does not hold the cluster key.
    WrongKey,
    /// The other side refused the connection.
    Refused(String),
    /// The other side broke the protocol.
    Protocol(String),
    /// The connection failed.
    Io(io::Error),
}

impl Error {
    /// True when nothing of the message can have reached the other side.
    ///
    /// ```
    /// assert!(wire::Error::NotSent.is_not_sent());
    /// assert!(!wire::Error::Lost.is_not_sent());
    /// ```
    #[must_use]
    pub fn is_not_sent(&self) -> bool {
        matches!(self, Error::NotSent)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::NotSent => f.write_str("link is down, nothing was sent"),
            Error::Lost => f.write_str("link went down before the reply"),
            Error::TimedOut => f.write_str("no reply in time"),
            Error::WrongKey => f.write_str("the other side does not hold the cluster key"),
            Error::Refused(reason) => write!(f, "the other side refused the link: {reason}"),
            Error::Protocol(reason) => write!(f, "protocol violation: {reason}"),
            Error::Io(err) => write!(f, "connection failed: {err}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Io(err) => Some(err),
            _ => None,
        }
    }
}

impl From<io::Error> for Error {
    fn from(err: io::Error) -> Self {
        Error::Io(err)
    }
}
