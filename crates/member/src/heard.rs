//! What hearing of something changed.

/// What hearing of a target or an entry changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// Something that others have to be told at once.
    News,
    /// Only that it was heard again.
    Again,
    /// Nothing: it was older than what is known.
    Stale,
}
