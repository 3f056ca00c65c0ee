//! Load of the busiest rank over the mean.

use crate::{Load, Map, Shape};

/// Number of bisections of a bound: its relative error is below 1e-9.
const BISECTIONS: u32 = 40;

impl Map {
    /// Load of the busiest live rank over the mean of the live ranks, weighted by the
    /// tokens of each layer; `None` without tokens or live ranks.
    ///
    /// ```
    /// use expert::{Load, Map, Shape};
    ///
    /// let map = Map::uniform(Shape::with_spare(1, 2, 2, 0, 1));
    /// let mut load = Load::new(1, 2);
    /// load.add(&[30, 10]);
    /// assert_eq!(map.imbalance(&load, &[true, true]), Some(1.5));
    /// ```
    #[must_use]
    pub fn imbalance(&self, load: &Load, live: &[bool]) -> Option<f64> {
        let layers = 0..self.shape().layers().min(load.layers());
        let busiest = layers.map(|layer| self.busiest(layer, load.layer(layer), live));
        over_mean(busiest.sum(), load, live)
    }

    /// Tokens of the busiest live rank in a layer.
    fn busiest(&self, layer: usize, tokens: &[f64], live: &[bool]) -> f64 {
        let live_ranks = || (0..self.shape().ranks()).filter(|&rank| live.get(rank) == Some(&true));
        let mut copies = vec![0_u32; tokens.len()];
        for expert in live_ranks().flat_map(|rank| self.rank_slots(layer, rank).iter().flatten()) {
            if let Some(count) = copies.get_mut(expert.index()) {
                *count += 1;
            }
        }
        let of_rank = |rank: usize| -> f64 {
            let experts = self.rank_slots(layer, rank).iter().flatten();
            let shares = experts.filter_map(|expert| {
                let tokens = tokens.get(expert.index())?;
                Some(tokens / f64::from(*copies.get(expert.index())?))
            });
            shares.sum()
        };
        live_ranks().map(of_rank).fold(0.0, f64::max)
    }
}

impl Shape {
    /// Lower bound of [`Map::imbalance`] for any map of this shape.
    ///
    /// A copy of an expert may not have more tokens than the busiest rank, so a limit of
    /// the latter requires a number of copies of each expert. The bound is the lowest
    /// limit for which there are enough slots.
    ///
    /// ```
    /// use expert::{Load, Shape};
    ///
    /// let mut load = Load::new(1, 2);
    /// load.add(&[30, 10]);
    /// let bound = Shape::with_spare(1, 2, 2, 0, 1).min_imbalance(&load, &[true, true]);
    /// assert!((bound.unwrap() - 1.5).abs() < 1e-6);
    /// ```
    #[must_use]
    pub fn min_imbalance(&self, load: &Load, live: &[bool]) -> Option<f64> {
        let ranks = live.iter().filter(|live| **live).count();
        let bound = |layer: usize| self.min_busiest(load.layer(layer), ranks);
        over_mean((0..load.layers()).map(bound).sum(), load, live)
    }

    /// Lower bound of the tokens of the busiest of `ranks` ranks in a layer.
    fn min_busiest(&self, tokens: &[f64], ranks: usize) -> f64 {
        let (ranks, slots) = (as_f64(ranks), as_f64(ranks * self.slots_per_rank()));
        let total: f64 = tokens.iter().sum();
        let fits = |limit: f64| {
            let copies = tokens.iter().map(|tokens| (tokens / limit).ceil().max(1.0));
            copies.sum::<f64>() <= slots
        };
        let (mut low, mut high) = (total / ranks.max(1.0), total);
        if total <= 0.0 || fits(low) {
            return low;
        }
        for _ in 0..BISECTIONS {
            let middle = f64::midpoint(low, high);
            *(if fits(middle) { &mut high } else { &mut low }) = middle;
        }
        low
    }
}

/// The sum of the tokens of the busiest ranks of all layers over the sum of the means.
fn over_mean(busiest: f64, load: &Load, live: &[bool]) -> Option<f64> {
    let ranks = live.iter().filter(|live| **live).count();
    let total: f64 = (0..load.layers()).flat_map(|l| load.layer(l)).sum();
    (ranks > 0 && total > 0.0).then(|| busiest * as_f64(ranks) / total)
}

#[allow(clippy::cast_precision_loss, reason = "ranks and slots are few")]
fn as_f64(count: usize) -> f64 {
    count as f64
}
