//! Ways on where no single move helps.

use crate::search::{Candidate, Delta, LayerState, NO_EXPERT, moves};

/// Experts whose spare copy is tried as the one to give up.
const VICTIMS: usize = 6;

/// Moves that may follow to make up for the first.
const FOLLOWING: usize = 12;

/// A shorter time by less than this share is taken for none.
const LEAST_GAIN: f64 = 1e-4;

/// A sequence of moves that ends with a shorter time, though its first alone
/// lengthens it.
///
/// With few slots on each rank the search gets stuck on copies of experts
/// that have cooled: giving one up to the slowest rank's expert overloads the
/// rank where it was, until that one has exchanged its other expert.
pub(crate) fn kick(state: &LayerState<'_>, delta: &mut Delta) -> Option<Vec<Candidate>> {
    let limit = state.slowest().1 * (1.0 - LEAST_GAIN);
    let victims = victims(state);
    for expert in hottest_first(state) {
        let share = state.share(usize::from(expert), state.copies(expert));
        for &(left, victim) in &victims {
            if left >= share || victim == expert {
                continue;
            }
            let Some(slot) = emptiest(state, victim, expert) else {
                continue;
            };
            let first = Candidate::Put { slot, expert };
            if let Some(moves) = follow(state.clone(), first, limit, delta) {
                return Some(moves);
            }
        }
    }
    None
}

/// Experts of the slowest rank, those with most tokens a copy first.
fn hottest_first(state: &LayerState<'_>) -> Vec<u16> {
    let start = state.slowest().0 * state.width;
    let slots = &state.slots[start..start + state.width];
    let mut experts: Vec<u16> = slots.iter().copied().filter(|&e| e != NO_EXPERT).collect();
    let share = |expert: u16| state.share(usize::from(expert), state.copies(expert));
    experts.sort_by(|&a, &b| share(b).total_cmp(&share(a)));
    experts.truncate(1);
    experts
}

/// Experts with a copy to spare, with the tokens a copy that giving one up
/// leaves; fewest first.
fn victims(state: &LayerState<'_>) -> Vec<(f64, u16)> {
    let experts = (0..state.load.len()).filter_map(|expert| {
        let copies = state.holders[expert].len();
        let number = u16::try_from(expert).ok()?;
        (copies >= 2).then(|| (state.share(expert, copies - 1), number))
    });
    let mut victims: Vec<(f64, u16)> = experts.collect();
    victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    victims.truncate(VICTIMS);
    victims
}

/// The slot with `victim` on the least busy rank that lacks `expert`.
fn emptiest(state: &LayerState<'_>, victim: u16, expert: u16) -> Option<usize> {
    let holders = state.holders[usize::from(victim)].iter();
    let open = holders.filter(|&&rank| !state.holds(rank, expert));
    let time = |rank: u16| state.time[usize::from(rank)];
    let rank = open.min_by(|&&a, &&b| time(a).total_cmp(&time(b)))?;
    let start = usize::from(*rank) * state.width;
    (start..start + state.width).find(|&slot| state.slots[slot] == victim)
}

/// `first` and the best moves after it, if they end below `limit`.
fn follow(
    mut state: LayerState<'_>,
    first: Candidate,
    limit: f64,
    delta: &mut Delta,
) -> Option<Vec<Candidate>> {
    state.apply(first, delta);
    let mut moves = vec![first];
    while state.slowest().1 >= limit {
        if moves.len() > FOLLOWING {
            return None;
        }
        let next = moves::best(&state, moves::FEW, delta)?;
        state.apply(next, delta);
        moves.push(next);
    }
    Some(moves)
}
