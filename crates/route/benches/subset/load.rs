//! How evenly streams spread over targets when each entry chooses among its own.

use crate::deployment::Graph;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;

/// Streams open at once: 2.8 million tokens a second, 29 ms between two of a stream.
const STREAMS: usize = 81_200;
/// Streams begun between two looks at the targets' loads.
const REPORTED: usize = 870;
/// Rounds of streams that end and begin.
const TURNOVER: usize = 3;
/// Targets compared for each choice.
const SAMPLES: usize = 16;

/// Part of the entries, and the part of the callers that come to them.
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

/// Load of the most loaded target, against the mean. Each stream goes to the target with
/// the least load among those sampled, as last reported plus the entry's own starts.
pub fn worst(graph: &Graph, spread: Spread) -> f64 {
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
    for begun in 0..STREAMS * (TURNOVER + 1) {
        if begun % REPORTED == 0 {
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
        let seen = |target: &usize| reported[*target] + own.get(&(entry, *target)).unwrap_or(&0);
        let candidates: Vec<usize> = candidates.collect();
        let target = *candidates.iter().min_by_key(|target| seen(target)).unwrap();
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
        reason = "a part of a count of entries"
    )]
    let busy = ((count as f64 * spread.entries) as usize).max(1);
    if busy >= count || rng.random_range(0.0..1.0) < spread.callers {
        rng.random_range(0..busy)
    } else {
        rng.random_range(busy..count)
    }
}
