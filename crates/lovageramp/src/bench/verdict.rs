//! Checks the guarantees that must hold in every run.

use std::collections::BTreeMap;

use super::outcome::OutcomeStatus;
use super::tally::Tally;

/// Number of violations of each guarantee; all must be 0.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Verdict {
    /// Calls that were answered but never reached a target; `None` if not checked.
    pub(super) lost: Option<u64>,
    /// Calls that reached targets more than once; `None` if not checked.
    pub(super) doubled: Option<u64>,
    /// Calls that ran although their caller was told that they did not; `None` if
    /// not checked.
    pub(super) ran_though_refused: Option<u64>,
    /// Events that belong to the response to another request.
    pub(super) foreign_events: u64,
    /// Conflicting responses for the same idempotency key.
    pub(super) differing_responses: u64,
}

impl Verdict {
    /// Compares the responses to the callers with the requests that reached the targets;
    /// `seen` are the request counts by idempotency key.
    pub(super) fn new(tally: &Tally, seen: Option<&BTreeMap<String, u64>>) -> Self {
        let mut verdict = Verdict {
            foreign_events: tally.foreign_events,
            differing_responses: tally.differing_responses,
            ..Verdict::default()
        };
        let Some(seen) = seen else {
            return verdict;
        };
        let (mut lost, mut doubled, mut ran_though_refused) = (0, 0, 0);
        for (key, status) in &tally.status_by_key {
            let count = seen.get(key).copied().unwrap_or_default();
            doubled += u64::from(count > 1);
            lost += u64::from(count == 0 && *status == OutcomeStatus::Done);
            ran_though_refused += u64::from(count > 0 && *status == OutcomeStatus::Refused);
        }
        verdict.lost = Some(lost);
        verdict.doubled = Some(doubled);
        verdict.ran_though_refused = Some(ran_though_refused);
        verdict
    }

    /// Total number of violations.
    pub(super) fn violations(&self) -> u64 {
        let checked = [self.lost, self.doubled, self.ran_though_refused];
        let checked: u64 = checked.into_iter().flatten().sum();
        checked + self.foreign_events + self.differing_responses
    }
}
