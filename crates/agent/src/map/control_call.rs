//! Kinds of calls to control.

/// A kind of call to control, of which one at a time is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ControlCall {
    /// Opens a coordinator.
    Open,
    /// Has a decision committed.
    Decide,
    /// Reads what stands.
    Ask,
    /// Opens a number so that the engine can join.
    Join,
}
