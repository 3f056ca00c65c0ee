//! Errors of links.

use std::{fmt, io};

/// A result with the crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// An error in establishing a link or exchanging a message.
#[derive(Debug)]
pub enum Error {
    /// The link was already down: no part of the message was sent.
    NotSent,
    /// The link went down after the message was queued; the peer may or may not have
    /// received it.
    Lost,
    /// No reply arrived in time; the peer may or may not have received the message.
    TimedOut,
    /// The peer does not hold the cluster key.
    WrongKey,
    /// The peer refused the connection.
    Refused(String),
    /// The peer violated the protocol.
    Protocol(String),
    /// The connection failed.
    Io(io::Error),
}

impl Error {
    /// Returns true if the peer can't have received any part of the message.
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
