//! How the client prints.

/// How the client prints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// The whole answer, for programs.
    Json,
}
