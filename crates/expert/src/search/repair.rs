//! Placement of experts that no live rank holds.

use crate::search::{Candidate, LayerState, delta::Delta};

impl LayerState<'_> {
    /// Places all experts without a copy, those with the most tokens first.
    /// Returns how many were placed and for how many no slot is left.
    pub(crate) fn repair(&mut self, delta: &mut Delta) -> (u64, u64) {
        let mut missing: Vec<usize> = (0..self.load.len())
            .filter(|&expert| self.holders[expert].is_empty())
            .collect();
        missing.sort_by(|&a, &b| self.load[b].total_cmp(&self.load[a]).then(a.cmp(&b)));
        let (mut placed, mut unplaced) = (0, 0);
        for expert in missing {
            let expert = u16::try_from(expert).unwrap_or(u16::MAX);
            if let Some(slot) = self.best_slot(expert, delta) {
                self.apply(Candidate::Put { slot, expert }, delta);
                placed += 1;
            } else {
                unplaced += 1;
            }
        }
        (placed, unplaced)
    }

    /// The spare slot for `expert` with the shortest time of the slowest rank
    /// affected.
    fn best_slot(&self, expert: u16, delta: &mut Delta) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for slot in 0..self.slots.len() {
            if !self.is_live(slot / self.slots_per_rank) || !self.is_spare(slot) {
                continue;
            }
            self.measure(Candidate::Put { slot, expert }, delta);
            let times = delta.iter().map(|(rank, change)| self.time[rank] + change);
            let slowest = times.fold(0.0, f64::max);
            if best.is_none_or(|(least, _)| slowest < least) {
                best = Some((slowest, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}
