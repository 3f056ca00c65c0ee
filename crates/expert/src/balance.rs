//! A map made anew for a load, without regard to any former map.

use crate::search::NO_EXPERT;
use crate::{ExpertId, Load, Map, Shape, Speeds};

impl Map {
    /// The map made anew for `load` by greedy replication and packing,
    /// without regard to any former map: spare slots go one by one to the
    /// expert with the most tokens for each copy, then the copies are packed
    /// onto the least busy ranks, heaviest first.
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

/// Copies of one layer's experts being packed onto ranks.
struct Packing<'a> {
    width: usize,
    load: &'a [f64],
    cost: &'a [Option<f64>],
    slots: Vec<u16>,
    time: Vec<f64>,
}

impl<'a> Packing<'a> {
    fn new(width: usize, load: &'a [f64], cost: &'a [Option<f64>]) -> Packing<'a> {
        Packing {
            width,
            load,
            cost,
            slots: vec![NO_EXPERT; width * cost.len()],
            time: vec![0.0; cost.len()],
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

    /// Copies of each expert: one, and the spare slots to the hottest.
    fn copies(&self) -> Vec<u32> {
        let live = self.cost.iter().flatten().count();
        let slots = live * self.width;
        let mut copies = vec![1; self.load.len()];
        let limit = u32::try_from(live).unwrap_or(u32::MAX);
        for _ in self.load.len()..slots {
            let share = |expert: usize| self.load[expert] / f64::from(copies[expert]);
            let open = (0..copies.len()).filter(|&expert| copies[expert] < limit);
            let hottest = open.max_by(|&a, &b| share(a).total_cmp(&share(b)).then(b.cmp(&a)));
            match hottest {
                Some(expert) => copies[expert] += 1,
                None => break,
            }
        }
        copies
    }

    fn rank_slots(&self, rank: usize) -> &[u16] {
        &self.slots[rank * self.width..(rank + 1) * self.width]
    }

    fn has_room(&self, rank: usize) -> bool {
        self.cost[rank].is_some() && self.rank_slots(rank).contains(&NO_EXPERT)
    }

    /// Puts a copy on the rank that is done first with it. The last ranks
    /// with room may all hold the expert already; then the copy is dropped,
    /// unless it is the only one, which always finds room.
    fn place(&mut self, share: f64, expert: u16) {
        let done = |rank: usize| self.time[rank] + share * self.cost[rank].unwrap_or(f64::MAX);
        let open = (0..self.time.len())
            .filter(|&rank| self.has_room(rank) && !self.rank_slots(rank).contains(&expert));
        let Some(rank) = open.min_by(|&a, &b| done(a).total_cmp(&done(b))) else {
            return;
        };
        self.time[rank] = done(rank);
        let start = rank * self.width;
        let slots = &mut self.slots[start..start + self.width];
        if let Some(slot) = slots.iter_mut().find(|slot| **slot == NO_EXPERT) {
            *slot = expert;
        }
    }
}
