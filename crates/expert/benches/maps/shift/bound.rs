//! Load of the busiest rank under a map, and its lower bound for any map.

use expert::{Load, Map, Shape};

/// Load of the busiest rank over the mean, averaged over the layers.
pub fn imbalance(map: &Map, load: &Load) -> f64 {
    let layers = 0..load.layers();
    let sum: f64 = layers.map(|layer| layer_imbalance(map, load, layer)).sum();
    sum / load.layers() as f64
}

fn layer_imbalance(map: &Map, load: &Load, layer: usize) -> f64 {
    let values = load.layer(layer);
    let mut copies = vec![0.0; values.len()];
    for expert in map.layer(layer).iter().flatten() {
        copies[usize::from(expert.0)] += 1.0;
    }
    let tokens = |rank: usize| -> f64 {
        let experts = map.rank_slots(layer, rank).iter().flatten();
        experts
            .map(|e| values[usize::from(e.0)] / copies[usize::from(e.0)])
            .sum()
    };
    let ranks = map.shape().ranks();
    let busiest = (0..ranks).map(tokens).fold(0.0, f64::max);
    busiest * ranks as f64 / values.iter().sum::<f64>()
}

/// Lower bound of [`imbalance`] for any map of the shape. No copy of an expert may
/// have more tokens than the busiest rank, so that a bound on the latter requires a
/// number of copies of each expert. The bound is the lowest for which there are slots.
pub fn lower_bound(shape: &Shape, load: &Load) -> f64 {
    let bound = |layer: usize| {
        let total: f64 = load.layer(layer).iter().sum();
        let even = total / shape.ranks() as f64;
        let fits = |limit: f64| {
            let copies = load
                .layer(layer)
                .iter()
                .map(|tokens| (tokens / limit).ceil().max(1.0));
            copies.sum::<f64>() <= (shape.ranks() * shape.slots_per_rank()) as f64
        };
        let (mut low, mut high) = (even, total);
        if fits(low) {
            return 1.0;
        }
        for _ in 0..40 {
            let middle = f64::midpoint(low, high);
            *(if fits(middle) { &mut high } else { &mut low }) = middle;
        }
        low / even
    };
    (0..load.layers()).map(bound).sum::<f64>() / load.layers() as f64
}
