//! Maps built from scratch for a load.

use crate::search::NO_EXPERT;
use crate::{ExpertId, Load, Map, Shape, Speeds};

impl Map {
    /// Builds a map for `load` from scratch by greedy replication and packing.
    /// Spare slots go one by one to the expert with the most tokens per copy,
    /// then the copies are packed onto the least busy ranks, heaviest first.
    ///
    /// ```
    /// use expert::{Load, Map, Shape, Speeds};
    ///
    /// let mut load = Load::new(1, 4);
    /// load.add(&[900, 100, 100, 100]);
    /// let shape = Shape::with_spare(1, 4, 2, 1, 1);
    /// let map = Map::balanced(shape, &load, &Speeds::new(2, 1e-6));
    /// assert!(map.check(&[true, true]).is_empty());
    /// ```
    #[must_use]
    pub fn balanced(shape: Shape, load: &Load, speeds: &Speeds) -> Map {
        let cost = speeds.seconds_per_token();
        let mut map = Map::empty(shape);
        for layer in 0..load.layers().min(map.shape().layers()) {
            let packing = Packing::new(map.shape().slots_per_rank(), load.layer(layer), &cost);
            let slots = packing.pack();
            for (slot, expert) in map.layer_mut(layer).iter_mut().zip(slots) {
                *slot = (expert != NO_EXPERT).then_some(ExpertId(expert));
            }
        }
        map
    }
}

/// State of packing the experts of one layer onto ranks.
struct Packing<'a> {
    slots_per_rank: usize,
    /// Tokens of each expert.
    load: &'a [f64],
    /// Seconds per token on each rank; `None` for a lost rank.
    cost: &'a [Option<f64>],
    slots: Vec<u16>,
    /// Seconds that each rank is busy.
    busy: Vec<f64>,
}

impl<'a> Packing<'a> {
    fn new(slots_per_rank: usize, load: &'a [f64], cost: &'a [Option<f64>]) -> Packing<'a> {
        Packing {
            slots_per_rank,
            load,
            cost,
            slots: vec![NO_EXPERT; slots_per_rank * cost.len()],
            busy: vec![0.0; cost.len()],
        }
    }

    fn pack(mut self) -> Vec<u16> {
        let copies = self.copies();
        let mut items: Vec<(f64, u16)> = Vec::new();
        for (expert, &count) in copies.iter().enumerate() {
            let share = self.load[expert] / f64::from(count.max(1));
            let expert = ExpertId::from_index(expert).0;
            items.extend((0..count).map(|_| (share, expert)));
        }
        items.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (share, expert) in items {
            self.place(share, expert);
        }
        self.slots
    }

    /// Number of copies of each expert: one each, and one for every spare
    /// slot, which goes to the expert with the most tokens per copy.
    fn copies(&self) -> Vec<u32> {
        let live = self.cost.iter().flatten().count();
        let slots = live * self.slots_per_rank;
        let mut copies = vec![1; self.load.len()];
        let limit = u32::try_from(live).unwrap_or(u32::MAX);
        for _ in self.load.len()..slots {
            let share = |expert: usize| self.load[expert] / f64::from(copies[expert]);
            let candidates = (0..copies.len()).filter(|&expert| copies[expert] < limit);
            let hottest = candidates.max_by(|&a, &b| share(a).total_cmp(&share(b)).then(b.cmp(&a)));
            match hottest {
                Some(expert) => copies[expert] += 1,
                None => break,
            }
        }
        copies
    }

    fn rank_slots(&self, rank: usize) -> &[u16] {
        &self.slots[rank * self.slots_per_rank..(rank + 1) * self.slots_per_rank]
    }

    fn has_free_slot(&self, rank: usize) -> bool {
        self.cost[rank].is_some() && self.rank_slots(rank).contains(&NO_EXPERT)
    }

    /// Places a copy on the rank that would finish first with it. If all ranks
    /// with a free slot already hold the expert, the copy is dropped; an only
    /// copy always finds a slot.
    fn place(&mut self, share: f64, expert: u16) {
        let finish = |rank: usize| self.busy[rank] + share * self.cost[rank].unwrap_or(f64::MAX);
        let candidates = (0..self.busy.len())
            .filter(|&rank| self.has_free_slot(rank) && !self.rank_slots(rank).contains(&expert));
        let Some(rank) = candidates.min_by(|&a, &b| finish(a).total_cmp(&finish(b))) else {
            return;
        };
        self.busy[rank] = finish(rank);
        let start = rank * self.slots_per_rank;
        let slots = &mut self.slots[start..start + self.slots_per_rank];
        if let Some(slot) = slots.iter_mut().find(|slot| **slot == NO_EXPERT) {
            *slot = expert;
        }
    }
}
