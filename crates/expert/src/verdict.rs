//! Outcome of the switch to a map version.

/// Outcome of the switch to a map version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The map is in force from the decision's barrier step on.
    Commit,
    /// The map never comes into force; the previous one stays in use.
    Abort,
}
