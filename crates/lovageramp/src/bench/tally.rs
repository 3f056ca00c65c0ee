//! Aggregated outcomes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::histogram::DurationHistogram;
use super::outcome::{Outcome, OutcomeStatus, RequestKind};

/// Most distinct failure descriptions that are counted.
const MAX_DETAILS: usize = 20;

/// Counts and latencies of the requests of one kind.
pub(super) struct KindTally {
    pub(super) sent: u64,
    pub(super) statuses: BTreeMap<OutcomeStatus, u64>,
    /// Time to the first token or the response.
    pub(super) latency: DurationHistogram,
    pub(super) token_gaps: DurationHistogram,
}

impl KindTally {
    fn new() -> eyre::Result<Self> {
        Ok(KindTally {
            sent: 0,
            statuses: BTreeMap::new(),
            latency: DurationHistogram::new()?,
            token_gaps: DurationHistogram::new()?,
        })
    }

    pub(super) fn count(&self, status: OutcomeStatus) -> u64 {
        self.statuses.get(&status).copied().unwrap_or_default()
    }
}

/// Aggregated outcomes of one run.
pub(super) struct Tally {
    pub(super) kinds: BTreeMap<RequestKind, KindTally>,
    /// Times to first token, by the second of the planned send time.
    pub(super) first_token_by_second: BTreeMap<u64, DurationHistogram>,
    pub(super) foreign_events: u64,
    pub(super) differing_responses: u64,
    /// Status of each non-repeatable call, by idempotency key.
    pub(super) status_by_key: BTreeMap<String, OutcomeStatus>,
    /// Number of occurrences of each failure description.
    pub(super) details: BTreeMap<String, u64>,
}

impl Tally {
    pub(super) fn new() -> eyre::Result<Self> {
        let mut kinds = BTreeMap::new();
        for kind in [
            RequestKind::Chat,
            RequestKind::Read,
            RequestKind::Write,
            RequestKind::Raced,
        ] {
            kinds.insert(kind, KindTally::new()?);
        }
        Ok(Tally {
            kinds,
            first_token_by_second: BTreeMap::new(),
            foreign_events: 0,
            differing_responses: 0,
            status_by_key: BTreeMap::new(),
            details: BTreeMap::new(),
        })
    }

    pub(super) fn add(&mut self, outcome: Outcome) -> eyre::Result<()> {
        if let Some(tally) = self.kinds.get_mut(&outcome.kind) {
            tally.sent += 1;
            *tally.statuses.entry(outcome.status).or_default() += 1;
            if let Some(latency) = outcome.latency {
                tally.latency.record(latency);
            }
            for gap in &outcome.token_gaps {
                tally.token_gaps.record(*gap);
            }
        }
        if let (RequestKind::Chat, Some(latency)) = (outcome.kind, outcome.latency) {
            self.add_first_token(outcome.planned_at, latency)?;
        }
        self.foreign_events += outcome.foreign_events;
        self.differing_responses += outcome.differing_responses;
        if let Some(key) = outcome.key {
            self.status_by_key.insert(key, outcome.status);
        }
        if let Some(detail) = outcome.detail {
            self.add_detail(detail);
        }
        Ok(())
    }

    /// Number of requests that have ended.
    pub(super) fn ended(&self) -> u64 {
        self.kinds.values().map(|tally| tally.sent).sum()
    }

    /// Number of requests with this status.
    pub(super) fn count(&self, status: OutcomeStatus) -> u64 {
        self.kinds.values().map(|tally| tally.count(status)).sum()
    }

    fn add_first_token(&mut self, planned_at: Duration, latency: Duration) -> eyre::Result<()> {
        let second = planned_at.as_secs();
        if let Some(histogram) = self.first_token_by_second.get_mut(&second) {
            histogram.record(latency);
            return Ok(());
        }
        let mut histogram = DurationHistogram::new()?;
        histogram.record(latency);
        self.first_token_by_second.insert(second, histogram);
        Ok(())
    }

    fn add_detail(&mut self, detail: String) {
        if self.details.len() < MAX_DETAILS || self.details.contains_key(&detail) {
            *self.details.entry(detail).or_default() += 1;
        }
    }
}
