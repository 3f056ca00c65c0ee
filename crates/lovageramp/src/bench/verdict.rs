//! Whether what must always hold did hold.

use std::collections::BTreeMap;

use super::outcome::Ending;
use super::tally::Tally;

/// What must be 0 after every run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Verdict {
    /// Answered calls that never reached a target; `None` when not asked.
    pub(super) lost: Option<u64>,
    /// Calls that reached targets more than once.
    pub(super) doubled: Option<u64>,
    /// Calls that ran though their caller was told that they did not.
    pub(super) ran_though_refused: Option<u64>,
    /// Events that belong to another request's answer.
    pub(super) foreign: u64,
    /// Answers to one key that differ.
    pub(super) differing: u64,
}

impl Verdict {
    /// Compares what callers were told with what the targets saw.
    pub(super) fn new(tally: &Tally, seen: Option<&BTreeMap<String, u64>>) -> Self {
        let mut verdict = Verdict {
            foreign: tally.foreign,
            differing: tally.differing,
            ..Verdict::default()
        };
        let Some(seen) = seen else {
            return verdict;
        };
        let (mut lost, mut doubled, mut ran_though_refused) = (0, 0, 0);
        for (key, ending) in &tally.keys {
            let count = seen.get(key).copied().unwrap_or_default();
            doubled += u64::from(count > 1);
            lost += u64::from(count == 0 && *ending == Ending::Done);
            ran_though_refused += u64::from(count > 0 && *ending == Ending::Refused);
        }
        verdict.lost = Some(lost);
        verdict.doubled = Some(doubled);
        verdict.ran_though_refused = Some(ran_though_refused);
        verdict
    }

    /// Everything that went wrong.
    pub(super) fn wrong(&self) -> u64 {
        let asked = [self.lost, self.doubled, self.ran_though_refused];
        let asked: u64 = asked.into_iter().flatten().sum();
        asked + self.foreign + self.differing
    }
}
