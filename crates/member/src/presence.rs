//! Whether a target takes work.

/// Whether a target takes work, by its own word.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It takes work.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It has left for good.
    Gone,
}
