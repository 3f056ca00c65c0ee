//! Number of an expert within each layer.

/// Number of an expert within each layer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ExpertId(pub u16);

impl ExpertId {
    pub(crate) fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The id for an index below the number of experts, which is a `u16`.
    pub(crate) fn from_index(index: usize) -> ExpertId {
        ExpertId(u16::try_from(index).unwrap_or(u16::MAX))
    }
}
