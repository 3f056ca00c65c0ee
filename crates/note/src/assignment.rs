//! Assignment of a target to a group or service.

/// The model group or plain service that a target is assigned to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Assignment {
    /// Member of the model group with this name.
    Group(String),
    /// Serves the plain service with this name.
    Service(String),
}
