//! Whether a target that joins a pool is warm.

/// Whether a target that joins a pool is warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// The target has been running and is only new to this entry. Treating it as
    /// cold would leave most of its capacity idle after each restart of an entry.
    Warm,
    /// The target has just started: its caches are cold, and its load is ramped
    /// up slowly.
    Cold,
}
