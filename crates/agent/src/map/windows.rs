//! What an engine counted in a window.

use std::collections::BTreeMap;

use wire::proto::RankWindow;

use crate::engine::ExpertCounts;

/// Turns an engine's growing counts into those of a window.
#[derive(Debug, Default)]
pub(crate) struct Windows {
    before: BTreeMap<u32, Vec<u64>>,
}

impl Windows {
    /// What was counted since the last call. At the first it is nothing, or on
    /// the start map all that was counted so far: most ranks that are on it
    /// were started just now, and a map for what was asked since the start is
    /// better than none.
    pub fn next(&mut self, counts: ExpertCounts) -> Vec<RankWindow> {
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
            let fresh = counts.map_version == 0;
            let before = self.before.get(&rank.rank);
            let before = before.or(fresh.then_some(&nothing));
            windows.extend(before.map(window));
            self.before.insert(rank.rank, tokens);
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

/// An engine that restarted counts from zero again.
fn difference(tokens: &[u64], before: &[u64]) -> Vec<u32> {
    let since = |(now, before): (&u64, &u64)| now.checked_sub(*before).unwrap_or(*now);
    let before = before.iter().chain(std::iter::repeat(&0));
    let counts = tokens.iter().zip(before).map(since);
    counts
        .map(|count| u32::try_from(count).unwrap_or(u32::MAX))
        .collect()
}
