//! What all outcomes add up to.

use std::collections::BTreeMap;
use std::time::Duration;

use super::histogram::Times;
use super::outcome::{Ending, Kind, Outcome};

/// Kinds of failures that are told apart, at most.
const MOST_DETAILS: usize = 20;

/// Counts and times of the requests of one kind.
pub(super) struct KindTally {
    pub(super) sent: u64,
    pub(super) endings: BTreeMap<Ending, u64>,
    pub(super) first: Times,
    pub(super) gaps: Times,
}

impl KindTally {
    fn new() -> eyre::Result<Self> {
        Ok(KindTally {
            sent: 0,
            endings: BTreeMap::new(),
            first: Times::new()?,
            gaps: Times::new()?,
        })
    }

    pub(super) fn ended(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or_default()
    }
}

/// What all outcomes add up to.
pub(super) struct Tally {
    pub(super) kinds: BTreeMap<Kind, KindTally>,
    /// Times to first token, by the second in which the request was planned.
    pub(super) seconds: BTreeMap<u64, Times>,
    pub(super) foreign: u64,
    pub(super) differing: u64,
    /// How each key of a non-repeatable call ended.
    pub(super) keys: BTreeMap<String, Ending>,
    pub(super) details: BTreeMap<String, u64>,
}

impl Tally {
    pub(super) fn new() -> eyre::Result<Self> {
        let mut kinds = BTreeMap::new();
        for kind in [Kind::Chat, Kind::Read, Kind::Write, Kind::Raced] {
            kinds.insert(kind, KindTally::new()?);
        }
        Ok(Tally {
            kinds,
            seconds: BTreeMap::new(),
            foreign: 0,
            differing: 0,
            keys: BTreeMap::new(),
            details: BTreeMap::new(),
        })
    }

    pub(super) fn add(&mut self, outcome: Outcome) -> eyre::Result<()> {
        if let Some(tally) = self.kinds.get_mut(&outcome.kind) {
            tally.sent += 1;
            *tally.endings.entry(outcome.ending).or_default() += 1;
            if let Some(first) = outcome.first {
                tally.first.add(first);
            }
            for gap in &outcome.gaps {
                tally.gaps.add(*gap);
            }
        }
        if let (Kind::Chat, Some(first)) = (outcome.kind, outcome.first) {
            self.add_second(outcome.planned, first)?;
        }
        self.foreign += outcome.foreign;
        self.differing += outcome.differing;
        if let Some(key) = outcome.key {
            self.keys.insert(key, outcome.ending);
        }
        if let Some(detail) = outcome.detail {
            self.add_detail(detail);
        }
        Ok(())
    }

    /// All that were sent and have ended.
    pub(super) fn ended(&self) -> u64 {
        self.kinds.values().map(|tally| tally.sent).sum()
    }

    /// All that ended so.
    pub(super) fn count(&self, ending: Ending) -> u64 {
        self.kinds.values().map(|tally| tally.ended(ending)).sum()
    }

    fn add_second(&mut self, planned: Duration, first: Duration) -> eyre::Result<()> {
        let second = planned.as_secs();
        if let Some(times) = self.seconds.get_mut(&second) {
            times.add(first);
            return Ok(());
        }
        let mut times = Times::new()?;
        times.add(first);
        self.seconds.insert(second, times);
        Ok(())
    }

    fn add_detail(&mut self, detail: String) {
        if self.details.len() < MOST_DETAILS || self.details.contains_key(&detail) {
            *self.details.entry(detail).or_default() += 1;
        }
    }
}
