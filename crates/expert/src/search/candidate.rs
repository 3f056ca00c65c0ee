//! A candidate move within a layer.

/// A candidate move: one change to the slots of a layer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Candidate {
    /// `expert` is loaded into `slot` and replaces its contents.
    Put { slot: usize, expert: u16 },
    /// A copy is dropped and its slot left empty, for instance on a slow rank.
    Drop { slot: usize },
    /// Two slots of different ranks exchange their experts.
    Swap { a: usize, b: usize },
}

impl Candidate {
    /// Number of experts that have to be loaded for it.
    pub(crate) fn loads(self) -> u32 {
        match self {
            Candidate::Drop { .. } => 0,
            Candidate::Put { .. } => 1,
            Candidate::Swap { .. } => 2,
        }
    }
}
