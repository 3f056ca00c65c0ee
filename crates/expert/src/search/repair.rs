//! Places for experts that no live rank holds.

use crate::search::{Candidate, LayerState, delta::Delta};

impl LayerState<'_> {
    /// Gives every expert without a copy a slot, hottest first, and returns
    /// how many were placed and how many found no slot.
    pub(crate) fn repair(&mut self, delta: &mut Delta) -> (u64, u64) {
        let mut missing: Vec<usize> = (0..self.load.len())
            .filter(|&expert| self.holders[expert].is_empty())
            .collect();
        missing.sort_by(|&a, &b| self.load[b].total_cmp(&self.load[a]).then(a.cmp(&b)));
        let (mut placed, mut homeless) = (0, 0);
        for expert in missing {
            let expert = u16::try_from(expert).unwrap_or(u16::MAX);
            if let Some(slot) = self.least_harm(expert, delta) {
                self.apply(Candidate::Put { slot, expert }, delta);
                placed += 1;
            } else {
                homeless += 1;
            }
        }
        (placed, homeless)
    }

    /// The spare slot where `expert` slows the ranks it touches least.
    fn least_harm(&self, expert: u16, delta: &mut Delta) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for slot in 0..self.slots.len() {
            if !self.is_live(slot / self.width) || !self.is_spare(slot) {
                continue;
            }
            self.measure(Candidate::Put { slot, expert }, delta);
            let times = delta.iter().map(|(rank, change)| self.time[rank] + change);
            let worst = times.fold(0.0, f64::max);
            if best.is_none_or(|(least, _)| worst < least) {
                best = Some((worst, slot));
            }
        }
        best.map(|(_, slot)| slot)
    }
}
