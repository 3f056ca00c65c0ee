//! Effect of the news that a target is alive.

/// Effect of the news that a target that accepts work has announced itself again,
/// unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AliveEffect {
    /// The target is known and was heard of again.
    Refreshed,
    /// A later report of the target is known.
    Stale,
    /// The target is not known as one that accepts work: a report of it was missed.
    Missed,
}
