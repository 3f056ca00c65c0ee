//! What a target is offered for.

/// What a target is offered for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Assignment {
    /// Member of the model group of this name.
    Group(String),
    /// Serves the plain service of this name.
    Service(String),
}
