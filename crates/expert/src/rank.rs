//! Number of a rank within its group.

/// Number of a rank within its group.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u16);

impl Rank {
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The rank for an index below the number of ranks.
    pub(crate) fn from_index(index: usize) -> Rank {
        Rank(u16::try_from(index).unwrap_or(u16::MAX))
    }
}
