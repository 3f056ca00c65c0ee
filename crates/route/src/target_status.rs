//! Whether a target may be given new work.

/// What is known of a target's fitness for new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetStatus {
    /// Offered, announced, healthy and reachable.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// Not offered, not announced, not healthy or not reachable.
    #[default]
    Unavailable,
}
