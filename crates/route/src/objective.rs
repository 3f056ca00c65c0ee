//! Whether a request can still be on time.

/// Whether a request can still be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Objective {
    /// It can, or it was begun already.
    Open,
    /// Its time is over, as that of a caller who was refused and came back.
    Missed,
}
