//! Whether a target may be given new work.

/// Whether a target may be given new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetStatus {
    /// The target is offered, announced, healthy and reachable.
    Ready,
    /// The target finishes its requests and accepts no new ones.
    Draining,
    /// The target is not offered, not announced, not healthy or not reachable.
    #[default]
    Unavailable,
}
