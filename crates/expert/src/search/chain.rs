//! A sequence of moves for one layer.

use crate::search::{Candidate, LayerState, delta::Delta, kick::kick, moves};

/// Maximum number of moves, which bounds the planning time for any load.
const MAX_MOVES: usize = 512;

/// Number of moves at the end of a chain that are assessed together: if they
/// save far less than would pay off, so will the moves after them.
const TAIL_MOVES: usize = 16;

/// Share of the saving that pays off that the tail must reach for the search
/// to continue.
const MIN_TAIL_SHARE: f64 = 0.5;

/// Maximum number of kicks in one chain.
const MAX_KICKS: usize = 32;

/// A sequence of moves for one layer, each chosen in the state that the
/// previous moves lead to.
#[derive(Debug)]
pub(crate) struct Chain {
    pub(crate) moves: Vec<Candidate>,
    /// Time of the layer after the first `n` moves, by `n` from 0.
    times: Vec<f64>,
    /// Number of loads that the first `n` moves need, by `n` from 0.
    loads: Vec<u32>,
}

/// Consecutive moves of a chain that are carried out together or not at all,
/// since a single move may gain nothing until the next rank is relieved too.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    /// Index in the chain of the first move after the segment.
    pub(crate) end: usize,
    /// Step time saved per window, in seconds.
    pub(crate) saved: f64,
    pub(crate) loads: u32,
}

impl Segment {
    /// Step time saved per loaded expert.
    pub(crate) fn gain_per_load(&self) -> f64 {
        self.saved / f64::from(self.loads.max(1))
    }
}

impl Chain {
    /// Searches for moves until none helps, or until even a perfectly even
    /// split could not save another `min_saved` seconds.
    pub(crate) fn search(mut state: LayerState<'_>, min_saved: f64, delta: &mut Delta) -> Chain {
        let ideal = state.ideal_time();
        let mut chain = Chain {
            moves: Vec::new(),
            times: vec![state.slowest().1],
            loads: vec![0],
        };
        let (mut time, mut loads, mut kicks) = (state.slowest().1, 0, 0);
        while chain.moves.len() < MAX_MOVES
            && time - ideal > min_saved
            && chain.tail_pays(min_saved)
        {
            let next = if let Some(candidate) = moves::best(&state, moves::SHORTLIST, delta)
                .or_else(|| moves::best(&state, usize::MAX, delta))
            {
                vec![candidate]
            } else if kicks < MAX_KICKS
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

    /// Whether the last moves still save enough per loaded expert.
    fn tail_pays(&self, min_saved: f64) -> bool {
        let Some(from) = self.moves.len().checked_sub(TAIL_MOVES) else {
            return true;
        };
        let end = self.moves.len();
        let saved = self.times[from] - self.times[end];
        let loads = f64::from(self.loads[end] - self.loads[from]);
        saved > MIN_TAIL_SHARE * min_saved * loads
    }

    /// The chain split at the vertices of the lower convex hull of time over
    /// loads, so that the gain per load decreases from one segment to the next.
    pub(crate) fn segments(&self) -> Vec<Segment> {
        let mut segments = Vec::new();
        let mut from = 0;
        while let Some(segment) = self.next_segment(from) {
            from = segment.end;
            segments.push(segment);
        }
        segments
    }

    /// The segment from move `from` with the largest gain per load.
    fn next_segment(&self, from: usize) -> Option<Segment> {
        let mut best: Option<Segment> = None;
        for end in from + 1..self.times.len() {
            let segment = Segment {
                end,
                saved: self.times[from] - self.times[end],
                loads: self.loads[end] - self.loads[from],
            };
            let best_gain = best.map_or(0.0, |best| best.gain_per_load());
            if segment.gain_per_load() > best_gain {
                best = Some(segment);
            }
        }
        best
    }
}
