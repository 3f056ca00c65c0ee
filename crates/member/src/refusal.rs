//! Why a renewal is refused.

/// Why a renewal is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A later incarnation of the same name is known: either this process was
    /// replaced, or two hosts are configured with the same name.
    Superseded,
    /// The registry holds its maximum number of nodes.
    Full,
}
