//! A host's answer.

use hyper::StatusCode;
use serde_json::Value;

use super::{Failure, Format};

/// A host's answer.
#[derive(Debug, Clone)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    pub(super) body: Value,
}

impl Answer {
    /// The body of a success; what was refused is a failure.
    pub(super) fn success(self) -> Result<Value, Failure> {
        if self.status.is_success() {
            Ok(self.body)
        } else {
            Err(Failure::Refused(self.body))
        }
    }
}

/// The whole answer for programs, what `text` makes of it for people.
pub(super) fn render(answer: &Value, format: Format, text: fn(&Value) -> String) -> String {
    match format {
        Format::Json => answer.to_string(),
        Format::Text => text(answer),
    }
}
