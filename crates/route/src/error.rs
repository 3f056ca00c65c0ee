//! The error type of this crate.

use std::fmt;

/// A `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A quarantine snapshot that could not be read.
#[derive(Debug)]
pub struct Error {
    kind: ErrorKind,
}

#[derive(Debug)]
enum ErrorKind {
    InvalidJson(serde_json::Error),
    InvalidFingerprint { place: String },
}

impl Error {
    pub(crate) fn invalid_json(source: serde_json::Error) -> Self {
        Error {
            kind: ErrorKind::InvalidJson(source),
        }
    }

    pub(crate) fn invalid_fingerprint(place: String) -> Self {
        Error {
            kind: ErrorKind::InvalidFingerprint { place },
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            ErrorKind::InvalidJson(source) => write!(f, "invalid quarantine snapshot: {source}"),
            ErrorKind::InvalidFingerprint { place } => {
                write!(f, "expected 64 hexadecimal digits at {place}")
            }
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.kind {
            ErrorKind::InvalidJson(source) => Some(source),
            ErrorKind::InvalidFingerprint { .. } => None,
        }
    }
}
