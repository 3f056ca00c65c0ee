//! Whether a target accepts work.

/// Whether a target accepts work, as reported by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It accepts work.
    Ready,
    /// It finishes the requests that it has and accepts no new ones.
    Draining,
    /// It has left permanently.
    Gone,
}
