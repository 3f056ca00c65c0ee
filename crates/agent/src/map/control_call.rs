//! Kinds of calls to control.

/// A kind of call to control; at most one of each kind is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ControlCall {
    /// Opens a coordinator.
    Open,
    /// Proposes a decision.
    Decide,
    /// Reads the current decisions.
    ReadStanding,
    /// Opens a fencing number so that the engine can join.
    OpenToJoin,
}
