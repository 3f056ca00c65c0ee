//! The error of this crate.

use std::fmt;

/// A `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A snapshot that could not be read.
#[derive(Debug)]
pub struct Error {
    code: Code,
}

#[derive(Debug)]
enum Code {
    Snapshot(serde_json::Error),
    Digits { place: String },
}

impl Error {
    pub(crate) fn snapshot(source: serde_json::Error) -> Self {
        Error {
            code: Code::Snapshot(source),
        }
    }

    pub(crate) fn digits(place: String) -> Self {
        Error {
            code: Code::Digits { place },
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.code {
            Code::Snapshot(source) => write!(f, "invalid quarantine snapshot: {source}"),
            Code::Digits { place } => {
                write!(f, "expected 64 hexadecimal digits at {place}")
            }
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.code {
            Code::Snapshot(source) => Some(source),
            Code::Digits { .. } => None,
        }
    }
}
