//! Errors of this crate.

use std::fmt::{self, Debug, Display};

/// A `Result` with the [`Error`] of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Encoded bytes that can't be decoded.
#[derive(Clone, Eq, PartialEq)]
pub struct Error {
    code: Code,
}

#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Code {
    Decode(String),
    Format(u32),
    Range(u32),
    Slots(usize, usize),
}

impl Error {
    pub(crate) fn new(code: Code) -> Error {
        Error { code }
    }
}

impl From<prost::DecodeError> for Error {
    fn from(error: prost::DecodeError) -> Error {
        Error::new(Code::Decode(error.to_string()))
    }
}

impl Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.code {
            Code::Decode(reason) => f.write_str(reason),
            Code::Format(format) => write!(f, "unknown format {format}"),
            Code::Range(value) => write!(f, "value {value} is out of range"),
            Code::Slots(found, expected) => {
                write!(f, "{found} slots where the shape has {expected}")
            }
        }
    }
}

impl Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?})", self.to_string())
    }
}

impl std::error::Error for Error {}
