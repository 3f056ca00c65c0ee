//! A sequence of moves for one layer, and which part of it to carry out.

use crate::search::{Candidate, LayerState, delta::Delta, kick::kick, moves};

/// Longest chain, so that planning ends whatever the load.
const LONGEST: usize = 512;

/// Moves at the end of a chain that are looked at together: if they save far
/// less than pays, so will those after them.
const TAIL: usize = 16;

/// Share of what pays that the tail must save for the search to go on.
const TAIL_SHARE: f64 = 0.5;

/// Most kicks in one chain.
const KICKS: usize = 32;

/// A sequence of moves for one layer, each made for the state that the
/// former leave.
#[derive(Debug)]
pub(crate) struct Chain {
    pub(crate) moves: Vec<Candidate>,
    /// Time of the layer after each number of moves, from none on.
    times: Vec<f64>,
    /// Loads needed for each number of moves.
    loads: Vec<u32>,
}

/// Moves of one chain that are carried out together or not at all: a single
/// one may show no gain until the next rank is relieved too.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    /// Number of moves of the chain, counted from its start.
    pub(crate) end: usize,
    /// Step time saved in a window, in seconds.
    pub(crate) saved: f64,
    pub(crate) loads: u32,
}

impl Segment {
    /// Gain for each load.
    pub(crate) fn ratio(&self) -> f64 {
        self.saved / f64::from(self.loads.max(1))
    }
}

impl Chain {
    /// Moves until nothing helps, or until even a perfect split could not
    /// save `least_saved` seconds more.
    pub(crate) fn search(mut state: LayerState<'_>, least_saved: f64, delta: &mut Delta) -> Chain {
        let even = state.even_time();
        let mut chain = Chain {
            moves: Vec::new(),
            times: vec![state.slowest().1],
            loads: vec![0],
        };
        let (mut time, mut loads, mut kicks) = (state.slowest().1, 0, 0);
        while chain.moves.len() < LONGEST
            && time - even > least_saved
            && chain.tail_pays(least_saved)
        {
            let next = if let Some(candidate) = moves::best(&state, moves::FEW, delta)
                .or_else(|| moves::best(&state, usize::MAX, delta))
            {
                vec![candidate]
            } else if kicks < KICKS
                && let Some(moves) = kick(&state, delta)
            {
                kicks += 1;
                moves
            } else {
                break;
            };
            for candidate in next {
                state.apply(candidate, delta);
                time = state.slowest().1;
                loads += candidate.loads();
                chain.moves.push(candidate);
                chain.times.push(time);
                chain.loads.push(loads);
            }
        }
        chain
    }

    /// Whether the last moves still save enough for each load.
    fn tail_pays(&self, least_saved: f64) -> bool {
        let Some(from) = self.moves.len().checked_sub(TAIL) else {
            return true;
        };
        let end = self.moves.len();
        let saved = self.times[from] - self.times[end];
        let loads = f64::from(self.loads[end] - self.loads[from]);
        saved > TAIL_SHARE * least_saved * loads
    }

    /// The chain cut at the corners of its lower convex hull of time over
    /// loads: the gain for each load falls from one segment to the next.
    pub(crate) fn segments(&self) -> Vec<Segment> {
        let mut segments = Vec::new();
        let mut from = 0;
        while let Some(segment) = self.steepest(from) {
            from = segment.end;
            segments.push(segment);
        }
        segments
    }

    fn steepest(&self, from: usize) -> Option<Segment> {
        let mut best: Option<Segment> = None;
        for end in from + 1..self.times.len() {
            let segment = Segment {
                end,
                saved: self.times[from] - self.times[end],
                loads: self.loads[end] - self.loads[from],
            };
            let least = best.map_or(0.0, |best| best.ratio());
            if segment.ratio() > least {
                best = Some(segment);
            }
        }
        best
    }
}
