//! Balance of streams over targets when each entry chooses among its own subset.

use crate::deployment::Graph;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Number of concurrent streams, for 2.8 million tokens per second with 29 ms between two
/// tokens of a stream.
const STREAMS: usize = 81_200;
/// Number of streams started between two load reports.
const STREAMS_PER_REPORT: usize = 870;
/// Number of times that all streams are replaced.
const TURNOVER: usize = 3;
/// Number of targets compared per choice.
const SAMPLES: usize = 16;

/// Distribution of callers: a fraction of the entries gets a fraction of the callers.
#[derive(Clone, Copy)]
pub struct Spread {
    entries: f64,
    callers: f64,
}

pub const EVEN: Spread = Spread {
    entries: 0.5,
    callers: 0.5,
};
pub const UNEVEN: Spread = Spread {
    entries: 0.1,
    callers: 0.5,
};

/// Returns the load of the most loaded target relative to the mean. Each stream goes to the
/// sampled target with the least load, which is the last report plus the entry's own starts
/// since.
pub fn max_to_mean(graph: &Graph, spread: Spread) -> f64 {
    let mut rng = SmallRng::seed_from_u64(11);
    let numbers: BTreeMap<&str, usize> = graph
        .targets
        .iter()
        .flatten()
        .enumerate()
        .map(|(number, name)| (name.as_str(), number))
        .collect();
    let linked: Vec<Vec<Vec<usize>>> = graph
        .links
        .values()
        .map(|kinds| {
            let kinds = kinds.iter();
            let numbered = kinds.map(|kind| kind.iter().map(|t| numbers[t.as_str()]).collect());
            numbered.collect()
        })
        .collect();
    let mut loads = vec![0_usize; numbers.len()];
    let mut reported = loads.clone();
    let mut open: Vec<usize> = Vec::with_capacity(STREAMS);
    let mut own: BTreeMap<(usize, usize), usize> = BTreeMap::new();
    for started in 0..STREAMS * (TURNOVER + 1) {
        if started % STREAMS_PER_REPORT == 0 {
            reported.clone_from(&loads);
            own.clear();
        }
        if open.len() >= STREAMS {
            let ended = open.swap_remove(rng.random_range(0..open.len()));
            loads[ended] -= 1;
        }
        let entry = draw_entry(&mut rng, linked.len(), spread);
        let kinds = &linked[entry];
        let kind = &kinds[rng.random_range(0..kinds.len())];
        let compared = kind.len().min(SAMPLES);
        let offset = rng.random_range(0..kind.len());
        let candidates = (0..compared).map(|i| {
            if kind.len() <= SAMPLES {
                kind[(offset + i) % kind.len()]
            } else {
                kind[rng.random_range(0..kind.len())]
            }
        });
        let known_load =
            |target: &usize| reported[*target] + own.get(&(entry, *target)).unwrap_or(&0);
        let candidates: Vec<usize> = candidates.collect();
        let target = *candidates
            .iter()
            .min_by_key(|target| known_load(target))
            .unwrap();
        *own.entry((entry, target)).or_default() += 1;
        loads[target] += 1;
        open.push(target);
    }
    let mean = loads.iter().sum::<usize>() as f64 / loads.len() as f64;
    *loads.iter().max().unwrap() as f64 / mean
}

fn draw_entry(rng: &mut SmallRng, count: usize, spread: Spread) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a number of entries"
    )]
    let busy = ((count as f64 * spread.entries) as usize).max(1);
    if busy >= count || rng.random_range(0.0..1.0) < spread.callers {
        rng.random_range(0..busy)
    } else {
        rng.random_range(busy..count)
    }
}
