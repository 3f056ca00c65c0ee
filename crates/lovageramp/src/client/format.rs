//! Output format of the client.

/// Output format of the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// The whole response as JSON, for programs.
    Json,
}
