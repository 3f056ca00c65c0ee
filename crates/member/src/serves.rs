//! What a target serves.

/// What a target serves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Serves {
    /// Ranks of the model group of this name.
    Group(String),
    /// The plain service of this name.
    Service(String),
}
