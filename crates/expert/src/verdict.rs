//! How the switch to a map version ended.

/// How the switch to a map version ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The map is in force from the decision's barrier step on.
    Commit,
    /// The map never comes into force, the one before it stays.
    Abort,
}
