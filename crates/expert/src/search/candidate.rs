//! One change of a layer's slots.

/// One change of a layer's slots.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Candidate {
    /// `expert` is loaded into `slot`, in place of what it holds.
    Put { slot: usize, expert: u16 },
    /// A copy is given up and its slot left empty, as on a straggler.
    Drop { slot: usize },
    /// Two slots of different ranks exchange their experts.
    Swap { a: usize, b: usize },
}

impl Candidate {
    /// Experts that have to be loaded for it.
    pub(crate) fn loads(self) -> u32 {
        match self {
            Candidate::Drop { .. } => 0,
            Candidate::Put { .. } => 1,
            Candidate::Swap { .. } => 2,
        }
    }
}
