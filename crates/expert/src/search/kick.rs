//! Escape from local optima.

use crate::search::{Candidate, Delta, LayerState, NO_EXPERT, moves};

/// Maximum number of experts that are tried as the victim.
const MAX_VICTIMS: usize = 6;

/// Maximum number of moves after the first one of a kick.
const MAX_FOLLOWING_MOVES: usize = 12;

/// Relative reduction of the layer time below which a kick is not a gain.
const MIN_GAIN: f64 = 1e-4;

/// A sequence of moves that shortens the layer time although the first move
/// alone lengthens it; `None` if there is none.
///
/// With few slots per rank, the search gets stuck on spare copies of experts
/// that are no longer in demand: replacing such a copy, the victim, with an
/// expert of the slowest rank overloads the rank that held it until that rank
/// has exchanged its other expert.
pub(crate) fn kick(state: &LayerState<'_>, delta: &mut Delta) -> Option<Vec<Candidate>> {
    let limit = state.slowest().1 * (1.0 - MIN_GAIN);
    let victims = victims(state);
    for expert in hottest_experts(state) {
        let share = state.share(usize::from(expert), state.copies(expert));
        for &(victim_share, victim) in &victims {
            if victim_share >= share || victim == expert {
                continue;
            }
            let Some(slot) = least_busy_slot(state, victim, expert) else {
                continue;
            };
            let first = Candidate::Put { slot, expert };
            if let Some(moves) = complete(state.clone(), first, limit, delta) {
                return Some(moves);
            }
        }
    }
    None
}

/// The expert of the slowest rank with the most tokens per copy; at most one.
fn hottest_experts(state: &LayerState<'_>) -> Vec<u16> {
    let start = state.slowest().0 * state.slots_per_rank;
    let slots = &state.slots[start..start + state.slots_per_rank];
    let mut experts: Vec<u16> = slots.iter().copied().filter(|&e| e != NO_EXPERT).collect();
    let share = |expert: u16| state.share(usize::from(expert), state.copies(expert));
    experts.sort_by(|&a, &b| share(b).total_cmp(&share(a)));
    experts.truncate(1);
    experts
}

/// Experts with a spare copy, in ascending order of the tokens per copy once
/// one copy is dropped, which are returned with them.
fn victims(state: &LayerState<'_>) -> Vec<(f64, u16)> {
    let experts = (0..state.load.len()).filter_map(|expert| {
        let copies = state.holders[expert].len();
        let number = u16::try_from(expert).ok()?;
        (copies >= 2).then(|| (state.share(expert, copies - 1), number))
    });
    let mut victims: Vec<(f64, u16)> = experts.collect();
    victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    victims.truncate(MAX_VICTIMS);
    victims
}

/// The slot that holds `victim` on the least busy rank without `expert`.
fn least_busy_slot(state: &LayerState<'_>, victim: u16, expert: u16) -> Option<usize> {
    let holders = state.holders[usize::from(victim)].iter();
    let candidates = holders.filter(|&&rank| !state.holds(rank, expert));
    let time = |rank: u16| state.time[usize::from(rank)];
    let rank = candidates.min_by(|&&a, &&b| time(a).total_cmp(&time(b)))?;
    let start = usize::from(*rank) * state.slots_per_rank;
    (start..start + state.slots_per_rank).find(|&slot| state.slots[slot] == victim)
}

/// `first` and the best moves after it, if they lead to a layer time below
/// `limit`.
fn complete(
    mut state: LayerState<'_>,
    first: Candidate,
    limit: f64,
    delta: &mut Delta,
) -> Option<Vec<Candidate>> {
    state.apply(first, delta);
    let mut moves = vec![first];
    while state.slowest().1 >= limit {
        if moves.len() > MAX_FOLLOWING_MOVES {
            return None;
        }
        let next = moves::best(&state, moves::SHORTLIST, delta)?;
        state.apply(next, delta);
        moves.push(next);
    }
    Some(moves)
}
