//! Response of a host and its rendering.

use hyper::StatusCode;
use serde_json::Value;

use super::{Failure, Format};

/// Response of a host.
#[derive(Debug, Clone)]
pub(super) struct HostResponse {
    pub(super) status: StatusCode,
    pub(super) body: Value,
}

impl HostResponse {
    /// Returns the body of a successful response, or the failure otherwise.
    pub(super) fn into_body(self) -> Result<Value, Failure> {
        if self.status.is_success() {
            Ok(self.body)
        } else {
            Err(Failure::Refused(self.body))
        }
    }
}

/// Renders a response body: as JSON unchanged, as text by `text`.
pub(super) fn render(body: &Value, format: Format, text: fn(&Value) -> String) -> String {
    match format {
        Format::Json => body.to_string(),
        Format::Text => text(body),
    }
}
