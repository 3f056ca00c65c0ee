//! Expert counts of one window.

use std::collections::BTreeMap;

use wire::proto::RankWindow;

use crate::engine::ExpertCounts;

/// Turns an engine's cumulative counts into counts per window.
#[derive(Debug, Default)]
pub(crate) struct WindowCounter {
    previous: BTreeMap<u32, Vec<u64>>,
}

impl WindowCounter {
    /// The counts since the last call. The first call returns nothing for a rank,
    /// unless the rank is on its initial map: then it returns all counts so far,
    /// because most such ranks have just started, and a map for the load since the
    /// start is better than none.
    pub fn next_window(&mut self, counts: ExpertCounts) -> Vec<RankWindow> {
        let mut windows = Vec::new();
        for rank in counts.ranks {
            let tokens: Vec<u64> = rank.tokens.into_iter().flatten().collect();
            let window = |before: &Vec<u64>| RankWindow {
                rank: rank.rank,
                step_us: rank.step_us,
                tokens: difference(&tokens, before),
                step: counts.step,
                map_version: counts.map_version,
                slowdown_permille: rank.slowdown.map(permille),
            };
            let nothing = Vec::new();
            let on_initial_map = counts.map_version == 0;
            let before = self.previous.get(&rank.rank);
            let before = before.or(on_initial_map.then_some(&nothing));
            windows.extend(before.map(window));
            self.previous.insert(rank.rank, tokens);
        }
        windows
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and far greater slowdowns are no different"
)]
fn permille(ratio: f64) -> u32 {
    (ratio * 1_000.0) as u32
}

/// Counts since `before`; none if no token was counted. A count that went down was reset by a restart of the
/// engine and is taken in full.
fn difference(tokens: &[u64], before: &[u64]) -> Vec<u32> {
    if tokens == before {
        return Vec::new();
    }
    let since = |(now, before): (&u64, &u64)| now.checked_sub(*before).unwrap_or(*now);
    let before = before.iter().chain(std::iter::repeat(&0));
    let counts = tokens.iter().zip(before).map(since);
    counts
        .map(|count| u32::try_from(count).unwrap_or(u32::MAX))
        .collect()
}
