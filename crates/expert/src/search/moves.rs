//! Selection of the move that relieves the slowest rank most.

use crate::search::{Candidate, LayerState, NO_EXPERT, delta::Delta};

/// Number of least busy ranks that are tried first as receivers of load.
pub(crate) const SHORTLIST: usize = 16;

/// Score, relative to the slowest rank, below which a candidate is not an
/// improvement.
const MIN_SCORE: f64 = 1e-6;

/// The best candidate so far, with its score.
type Best = Option<(f64, Candidate)>;

/// The candidate that relieves the slowest rank most per loaded expert, with
/// the `count` least busy ranks as possible receivers of load.
///
/// The time of the layer is that of the slowest rank, but two ranks may be
/// equally slow, so that relieving one of them changes nothing yet. Candidates
/// are therefore scored by the decrease of the sum of the eighth powers of the
/// rank times. The slowest ranks dominate it, and it decreases with each of
/// them.
pub(crate) fn best(state: &LayerState<'_>, count: usize, delta: &mut Delta) -> Option<Candidate> {
    let (slowest, limit) = state.slowest();
    if limit <= 0.0 {
        return None;
    }
    let mut best = None;
    let receivers = receivers(state, slowest, count);
    let start = slowest * state.slots_per_rank;
    for slot in start..start + state.slots_per_rank {
        if state.slots[slot] != NO_EXPERT {
            for &receiver in &receivers {
                try_receiver(state, slot, receiver, limit, delta, &mut best);
            }
        }
        if state.slots[slot] != NO_EXPERT && state.is_spare(slot) {
            consider(state, Candidate::Drop { slot }, limit, delta, &mut best);
            try_replace(state, slot, limit, delta, &mut best);
        }
    }
    best.map(|(_, candidate)| candidate)
}

/// The `count` least busy live ranks without the slowest one, least busy first.
fn receivers(state: &LayerState<'_>, slowest: usize, count: usize) -> Vec<usize> {
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

/// Tries to move load of `slot` to `receiver`: by a further copy in place of a
/// spare one, or in exchange for one of its experts.
fn try_receiver(
    state: &LayerState<'_>,
    slot: usize,
    receiver: usize,
    limit: f64,
    delta: &mut Delta,
    best: &mut Best,
) {
    let expert = state.slots[slot];
    let rank = state.rank_of(slot);
    let moved_share = state.share(usize::from(expert), state.copies(expert));
    let copied_share = state.share(usize::from(expert), state.copies(expert) + 1);
    // Whether the receiver would become as slow as the slowest rank is now.
    let overloads = |previous_share: f64, new_share: f64| {
        let change = (new_share - previous_share)
            * state.rank_cost(state.rank_of(receiver * state.slots_per_rank));
        state.time[receiver] + change >= limit
    };
    if state.holds(state.rank_of(receiver * state.slots_per_rank), expert) {
        return;
    }
    for other in receiver * state.slots_per_rank..(receiver + 1) * state.slots_per_rank {
        let returned = state.slots[other];
        let previous_share = if returned == NO_EXPERT {
            0.0
        } else {
            state.share(usize::from(returned), state.copies(returned))
        };
        if state.is_spare(other) && !overloads(previous_share, copied_share) {
            let put = Candidate::Put {
                slot: other,
                expert,
            };
            consider(state, put, limit, delta, best);
        }
        let relieves = previous_share < moved_share && !overloads(previous_share, moved_share);
        if returned != NO_EXPERT && relieves && !state.holds(rank, returned) {
            let swap = Candidate::Swap { a: slot, b: other };
            consider(state, swap, limit, delta, best);
        }
    }
}

/// Tries to replace the spare copy in `slot` of the slowest rank by another
/// expert.
fn try_replace(
    state: &LayerState<'_>,
    slot: usize,
    limit: f64,
    delta: &mut Delta,
    best: &mut Best,
) {
    let rank = state.rank_of(slot);
    let previous = state.slots[slot];
    let previous_share = state.share(usize::from(previous), state.copies(previous));
    for index in 0..state.load.len() {
        let Ok(expert) = u16::try_from(index) else {
            return;
        };
        let relieves = state.share(index, state.copies(expert) + 1) < previous_share;
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
    // A candidate without loads counts as half a load. Otherwise it would win
    // however little it gains.
    let score = relief / f64::from(candidate.loads()).max(0.5);
    if score > best.map_or(MIN_SCORE, |(score, _)| score) {
        *best = Some((score, candidate));
    }
}

/// Decrease of the sum of the eighth powers of the rank times, in units of the
/// slowest rank's.
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
