//! Errors of decoding a snapshot.

use std::fmt;

/// Result of decoding a snapshot.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of decoding a snapshot.
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
            Code::Record(position) => write!(f, "malformed record at records[{position}]"),
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
