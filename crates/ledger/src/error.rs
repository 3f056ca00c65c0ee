//! Errors of reading a snapshot.

use std::fmt;

/// Result of reading a snapshot.
pub type Result<T> = std::result::Result<T, Error>;

/// A snapshot that can't be read.
#[derive(Debug)]
pub struct Error {
    code: Code,
}

#[derive(Debug)]
pub(crate) enum Code {
    Decode(prost::DecodeError),
    Record(usize),
}

impl From<Code> for Error {
    fn from(code: Code) -> Self {
        Error { code }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.code {
            Code::Decode(e) => write!(f, "snapshot of the ledger can't be read: {e}"),
            Code::Record(place) => write!(f, "malformed record at records[{place}]"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match &self.code {
            Code::Decode(e) => Some(e),
            Code::Record(_) => None,
        }
    }
}
