//! How a target comes into a pool.

/// How a target comes into a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartState {
    /// It has run for long, and only this entry is new to it. Taking it for
    /// cold would leave most of its places idle after each restart of an
    /// entry.
    Warm,
    /// It has just started: its caches are cold, and it is brought up to its
    /// load slowly.
    Cold,
}
