//! Why a renewal is refused.

/// Why a renewal is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A later incarnation of the same name was seen: this process is a
    /// leftover, or two hosts were given one name.
    Superseded,
    /// The registry holds as many nodes as it may.
    Full,
}
