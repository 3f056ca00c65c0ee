//! How common parts of prompts are among the requests of one entry.

use std::collections::{BTreeMap, VecDeque};

use crate::Fingerprint;

/// Number of requests that are counted.
const WINDOW_REQUESTS: usize = 256;

/// Counts parts of prompts in the latest requests.
///
/// ```
/// use route::{Fingerprint, PartShares};
///
/// let (common, rare) = (Fingerprint::new([1; 32]), Fingerprint::new([2; 32]));
/// let mut shares = PartShares::default();
/// shares.record(&[common, rare]);
/// shares.record(&[common]);
/// assert_eq!(shares.count(&common), 2);
/// assert_eq!(shares.count(&rare), 1);
/// assert_eq!(shares.total(), 2);
/// ```
#[derive(Clone, Debug, Default)]
pub struct PartShares {
    window: VecDeque<Vec<Fingerprint>>,
    counts: BTreeMap<Fingerprint, u32>,
}

impl PartShares {
    /// Counts a request with these parts, in place of the oldest one. Requests without parts
    /// are not counted.
    pub fn record(&mut self, parts: &[Fingerprint]) {
        if parts.is_empty() {
            return;
        }
        if self.window.len() >= WINDOW_REQUESTS {
            for part in self.window.pop_front().unwrap_or_default() {
                self.forget(&part);
            }
        }
        let mut distinct = parts.to_vec();
        distinct.sort_unstable();
        distinct.dedup();
        for part in &distinct {
            *self.counts.entry(*part).or_insert(0) += 1;
        }
        self.window.push_back(distinct);
    }

    /// Number of counted requests that have the part.
    #[must_use]
    pub fn count(&self, part: &Fingerprint) -> u32 {
        self.counts.get(part).copied().unwrap_or(0)
    }

    /// Number of counted requests.
    #[must_use]
    pub fn total(&self) -> u32 {
        u32::try_from(self.window.len()).unwrap_or(u32::MAX)
    }

    fn forget(&mut self, part: &Fingerprint) {
        if let Some(count) = self.counts.get_mut(part) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(part);
            }
        }
    }
}
