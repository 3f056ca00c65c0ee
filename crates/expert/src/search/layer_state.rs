//! The slots of one layer and the resulting rank times.

use crate::search::{Candidate, delta::Delta};
use crate::{ExpertId, Map};

/// Marks an empty slot.
pub(crate) const NO_EXPERT: u16 = u16::MAX;

/// The slots of one layer and the resulting rank times.
#[derive(Clone, Debug)]
pub(crate) struct LayerState<'a> {
    /// Number of slots of each rank.
    pub(crate) slots_per_rank: usize,
    /// Expert of each slot, by rank.
    pub(crate) slots: Vec<u16>,
    /// Tokens of each expert.
    pub(crate) load: &'a [f64],
    /// Seconds per token on each rank; `None` for a lost rank.
    pub(crate) cost: &'a [Option<f64>],
    /// Live ranks that hold each expert.
    pub(crate) holders: Vec<Vec<u16>>,
    /// Seconds that each rank takes for this layer in a window.
    pub(crate) time: Vec<f64>,
}

impl<'a> LayerState<'a> {
    pub(crate) fn new(
        map: &Map,
        layer: usize,
        load: &'a [f64],
        cost: &'a [Option<f64>],
    ) -> LayerState<'a> {
        let slots_per_rank = map.shape().slots_per_rank();
        let mut state = LayerState {
            slots_per_rank,
            slots: vec![NO_EXPERT; map.layer(layer).len()],
            load,
            cost,
            holders: vec![Vec::new(); load.len()],
            time: vec![0.0; cost.len()],
        };
        for (slot, expert) in map.layer(layer).iter().enumerate() {
            let Some(ExpertId(expert)) = *expert else {
                continue;
            };
            let rank = slot / slots_per_rank;
            if cost[rank].is_some() && usize::from(expert) < load.len() {
                state.slots[slot] = expert;
                state.holders[usize::from(expert)].push(rank_number(rank));
            }
        }
        state.recompute();
        state
    }

    /// Writes the slots into `map`.
    pub(crate) fn store(&self, map: &mut Map, layer: usize) {
        let slots = map.layer_mut(layer).iter_mut();
        for (slot, &expert) in slots.zip(&self.slots) {
            *slot = (expert != NO_EXPERT).then_some(ExpertId(expert));
        }
    }

    fn recompute(&mut self) {
        self.time.fill(0.0);
        for (expert, holders) in self.holders.iter().enumerate() {
            let share = self.share(expert, holders.len());
            for &rank in holders {
                self.time[usize::from(rank)] += share * self.rank_cost(rank);
            }
        }
    }

    /// Tokens of each copy if the expert has `copies` copies.
    #[allow(
        clippy::cast_precision_loss,
        reason = "there are at most as many copies as ranks"
    )]
    pub(crate) fn share(&self, expert: usize, copies: usize) -> f64 {
        self.load[expert] / copies.max(1) as f64
    }

    pub(crate) fn rank_cost(&self, rank: u16) -> f64 {
        self.cost[usize::from(rank)].unwrap_or(0.0)
    }

    pub(crate) fn rank_of(&self, slot: usize) -> u16 {
        rank_number(slot / self.slots_per_rank)
    }

    pub(crate) fn is_live(&self, rank: usize) -> bool {
        self.cost[rank].is_some()
    }

    pub(crate) fn holds(&self, rank: u16, expert: u16) -> bool {
        let start = usize::from(rank) * self.slots_per_rank;
        self.slots[start..start + self.slots_per_rank].contains(&expert)
    }

    pub(crate) fn copies(&self, expert: u16) -> usize {
        self.holders[usize::from(expert)].len()
    }

    /// Whether the slot is empty or holds an expert with further copies.
    pub(crate) fn is_spare(&self, slot: usize) -> bool {
        let expert = self.slots[slot];
        expert == NO_EXPERT || self.copies(expert) >= 2
    }

    /// The slowest live rank and its time.
    pub(crate) fn slowest(&self) -> (usize, f64) {
        let times = self.time.iter().copied().enumerate();
        times
            .filter(|&(rank, _)| self.is_live(rank))
            .fold(
                (0, 0.0),
                |slowest, next| {
                    if next.1 > slowest.1 { next } else { slowest }
                },
            )
    }

    /// Time of each rank if the load could be split perfectly evenly.
    pub(crate) fn ideal_time(&self) -> f64 {
        let speed: f64 = self.cost.iter().flatten().map(|cost| 1.0 / cost).sum();
        let total: f64 = self.load.iter().sum();
        if speed > 0.0 { total / speed } else { 0.0 }
    }

    /// Stores in `delta` the changes in rank times that `candidate` causes.
    pub(crate) fn measure(&self, candidate: Candidate, delta: &mut Delta) {
        delta.clear();
        match candidate {
            Candidate::Drop { slot } => self.measure_drop(slot, delta),
            Candidate::Put { slot, expert } => {
                self.measure_drop(slot, delta);
                self.measure_add(self.rank_of(slot), expert, delta);
            }
            Candidate::Swap { a, b } => {
                let (rank_a, rank_b) = (self.rank_of(a), self.rank_of(b));
                let tokens = |slot: usize| {
                    let expert = self.slots[slot];
                    self.share(usize::from(expert), self.copies(expert))
                };
                let change = tokens(b) - tokens(a);
                delta.add(rank_a, change * self.rank_cost(rank_a));
                delta.add(rank_b, -change * self.rank_cost(rank_b));
            }
        }
    }

    fn measure_drop(&self, slot: usize, delta: &mut Delta) {
        let rank = self.rank_of(slot);
        let previous = self.slots[slot];
        if previous != NO_EXPERT {
            let copies = self.copies(previous);
            let share = self.share(usize::from(previous), copies);
            let more = self.share(usize::from(previous), copies.saturating_sub(1)) - share;
            for &holder in &self.holders[usize::from(previous)] {
                let change = if holder == rank { -share } else { more };
                delta.add(holder, change * self.rank_cost(holder));
            }
        }
    }

    fn measure_add(&self, rank: u16, expert: u16, delta: &mut Delta) {
        let copies = self.copies(expert);
        let share = self.share(usize::from(expert), copies + 1);
        let less = self.share(usize::from(expert), copies) - share;
        for &holder in &self.holders[usize::from(expert)] {
            delta.add(holder, -less * self.rank_cost(holder));
        }
        delta.add(rank, share * self.rank_cost(rank));
    }

    /// Applies `candidate`; `delta` is scratch space.
    pub(crate) fn apply(&mut self, candidate: Candidate, delta: &mut Delta) {
        self.measure(candidate, delta);
        for (rank, change) in delta.iter() {
            self.time[rank] += change;
        }
        match candidate {
            Candidate::Drop { slot } => self.clear(slot),
            Candidate::Put { slot, expert } => {
                self.clear(slot);
                self.slots[slot] = expert;
                let rank = self.rank_of(slot);
                self.holders[usize::from(expert)].push(rank);
            }
            Candidate::Swap { a, b } => {
                let (rank_a, rank_b) = (self.rank_of(a), self.rank_of(b));
                for (slot, from, to) in [(a, rank_a, rank_b), (b, rank_b, rank_a)] {
                    let holders = &mut self.holders[usize::from(self.slots[slot])];
                    if let Some(holder) = holders.iter_mut().find(|holder| **holder == from) {
                        *holder = to;
                    }
                }
                self.slots.swap(a, b);
            }
        }
    }

    fn clear(&mut self, slot: usize) {
        let rank = self.rank_of(slot);
        let previous = std::mem::replace(&mut self.slots[slot], NO_EXPERT);
        if previous != NO_EXPERT {
            self.holders[usize::from(previous)].retain(|&holder| holder != rank);
        }
    }
}

/// Rank numbers are `u16` throughout.
fn rank_number(rank: usize) -> u16 {
    u16::try_from(rank).unwrap_or(u16::MAX)
}
