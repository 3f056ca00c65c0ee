//! The candidate that relieves the slowest rank best.

use crate::search::{Candidate, LayerState, NO_EXPERT, delta::Delta};

/// Ranks, least busy first, that are tried as takers of load at first.
pub(crate) const FEW: usize = 16;

/// Relief below this share of the slowest rank's time is taken for none.
const LEAST_RELIEF: f64 = 1e-6;

/// A candidate with its score.
type Best = Option<(f64, Candidate)>;

/// The candidate that relieves the slowest rank best for each load.
///
/// The slowest rank alone sets the time of the layer, but two may be equally
/// slow, and then relieving one changes nothing yet. Candidates are therefore
/// compared by the drop of the sum of the eighth powers of the rank times,
/// which is ruled by the slowest ranks and still falls with each of them.
pub(crate) fn best(state: &LayerState<'_>, count: usize, delta: &mut Delta) -> Option<Candidate> {
    let (slowest, limit) = state.slowest();
    if limit <= 0.0 {
        return None;
    }
    let mut best = None;
    let takers = takers(state, slowest, count);
    let start = slowest * state.width;
    for slot in start..start + state.width {
        if state.slots[slot] != NO_EXPERT {
            for &taker in &takers {
                try_taker(state, slot, taker, limit, delta, &mut best);
            }
        }
        if state.slots[slot] != NO_EXPERT && state.is_spare(slot) {
            consider(state, Candidate::Drop { slot }, limit, delta, &mut best);
            try_replacing(state, slot, limit, delta, &mut best);
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// The least busy live ranks.
fn takers(state: &LayerState<'_>, slowest: usize, count: usize) -> Vec<usize> {
    let mut ranks: Vec<usize> = (0..state.time.len())
        .filter(|&rank| rank != slowest && state.is_live(rank))
        .collect();
    let by_time = |a: &usize, b: &usize| state.time[*a].total_cmp(&state.time[*b]).then(a.cmp(b));
    if ranks.len() > count {
        ranks.select_nth_unstable_by(count, by_time);
        ranks.truncate(count);
    }
    ranks.sort_unstable_by(by_time);
    ranks
}

/// Tries to give the load of `slot` to `taker`: as a further copy in place
/// of something spare, or in exchange for one of its experts.
fn try_taker(
    state: &LayerState<'_>,
    slot: usize,
    taker: usize,
    limit: f64,
    delta: &mut Delta,
    best: &mut Best,
) {
    let expert = state.slots[slot];
    let rank = state.rank_of(slot);
    let given = state.share(usize::from(expert), state.copies(expert));
    let copied = state.share(usize::from(expert), state.copies(expert) + 1);
    // What would leave the taker slower than the slowest rank is now.
    let too_much = |former: f64, new: f64| {
        let change = (new - former) * state.rank_cost(state.rank_of(taker * state.width));
        state.time[taker] + change >= limit
    };
    if state.holds(state.rank_of(taker * state.width), expert) {
        return;
    }
    for other in taker * state.width..(taker + 1) * state.width {
        let returned = state.slots[other];
        let former = if returned == NO_EXPERT {
            0.0
        } else {
            state.share(usize::from(returned), state.copies(returned))
        };
        if state.is_spare(other) && !too_much(former, copied) {
            let put = Candidate::Put {
                slot: other,
                expert,
            };
            consider(state, put, limit, delta, best);
        }
        let relieves = former < given && !too_much(former, given);
        if returned != NO_EXPERT && relieves && !state.holds(rank, returned) {
            let swap = Candidate::Swap { a: slot, b: other };
            consider(state, swap, limit, delta, best);
        }
    }
}

/// Tries to put another expert into the spare `slot` of the slowest rank.
fn try_replacing(
    state: &LayerState<'_>,
    slot: usize,
    limit: f64,
    delta: &mut Delta,
    best: &mut Best,
) {
    let rank = state.rank_of(slot);
    let former = state.slots[slot];
    let former = state.share(usize::from(former), state.copies(former));
    for index in 0..state.load.len() {
        let Ok(expert) = u16::try_from(index) else {
            return;
        };
        let relieves = state.share(index, state.copies(expert) + 1) < former;
        if relieves && !state.holds(rank, expert) {
            consider(state, Candidate::Put { slot, expert }, limit, delta, best);
        }
    }
}

fn consider(
    state: &LayerState<'_>,
    candidate: Candidate,
    limit: f64,
    delta: &mut Delta,
    best: &mut Best,
) {
    state.measure(candidate, delta);
    let relief = relief(state, limit, delta);
    // What needs no load is scored as if it needed half of one, lest it go
    // before everything however little it helps.
    let score = relief / f64::from(candidate.loads()).max(0.5);
    if score > best.map_or(LEAST_RELIEF, |(score, _)| score) {
        *best = Some((score, candidate));
    }
}

/// Drop of the sum of powers, in units of the slowest rank's.
fn relief(state: &LayerState<'_>, limit: f64, delta: &Delta) -> f64 {
    let relief = delta.iter().map(|(rank, change)| {
        let before = state.time[rank] / limit;
        eighth_power(before) - eighth_power(before + change / limit)
    });
    relief.sum()
}

fn eighth_power(value: f64) -> f64 {
    let square = value * value;
    let fourth = square * square;
    fourth * fourth
}
