//! Load of one rank, estimated from its last report and later local changes.

use std::collections::VecDeque;
use std::time::Instant;

use crate::RankLoadReport;

/// Maximum number of local changes kept until a report covers them.
const MAX_CHANGES: usize = 4096;

/// The estimated load of one rank.
///
/// Reports are outdated when they arrive. The estimate adds to the report the
/// attempts that this entry has started since, and subtracts those that ended.
/// This change is divided by the entry's share of the traffic to account for
/// what other entries did meanwhile.
#[derive(Debug, Default)]
pub(crate) struct Rank {
    pub(crate) report: RankLoadReport,
    /// Attempts of this entry on the rank, known exactly.
    pub(crate) own_running: u32,
    /// Prompt tokens of this entry's attempts that have no first token yet.
    pub(crate) own_queued: u32,
    /// Local changes that the last report does not cover.
    changes: VecDeque<Change>,
    /// Sum of `running` over `changes`.
    running_change: i64,
    /// Sum of `queued` over `changes`.
    queued_change: i64,
}

#[derive(Debug)]
struct Change {
    at: Instant,
    running: i64,
    queued: i64,
}

impl Rank {
    pub(crate) fn new(number: u32) -> Self {
        let report = RankLoadReport {
            rank: number,
            ..RankLoadReport::default()
        };
        Rank {
            report,
            ..Rank::default()
        }
    }

    /// Applies a report and drops the changes that it already covers.
    pub(crate) fn apply_report(&mut self, report: RankLoadReport, taken_at: Instant) {
        self.report = report;
        while self.changes.front().is_some_and(|c| c.at <= taken_at) {
            self.drop_oldest();
        }
    }

    pub(crate) fn started(&mut self, now: Instant, tokens: u32) {
        self.own_running += 1;
        self.own_queued = self.own_queued.saturating_add(tokens);
        self.record_change(now, 1, i64::from(tokens));
    }

    pub(crate) fn prefilled(&mut self, now: Instant, tokens: u32) {
        self.own_queued = self.own_queued.saturating_sub(tokens);
        self.record_change(now, 0, -i64::from(tokens));
    }

    pub(crate) fn ended(&mut self, now: Instant) {
        self.own_running = self.own_running.saturating_sub(1);
        self.record_change(now, -1, 0);
    }

    /// Estimated number of requests that run on the rank.
    pub(crate) fn running(&self, share: f64) -> f64 {
        let estimate = f64::from(self.report.running) + scale_up(self.running_change, share);
        estimate.max(f64::from(self.own_running))
    }

    /// Estimated number of prompt tokens queued on the rank.
    pub(crate) fn queued(&self, share: f64) -> f64 {
        let estimate = f64::from(self.report.queued_tokens) + scale_up(self.queued_change, share);
        estimate.max(f64::from(self.own_queued))
    }

    fn record_change(&mut self, at: Instant, running: i64, queued: i64) {
        if self.changes.len() >= MAX_CHANGES {
            self.drop_oldest();
        }
        self.running_change += running;
        self.queued_change += queued;
        self.changes.push_back(Change {
            at,
            running,
            queued,
        });
    }

    fn drop_oldest(&mut self) {
        if let Some(change) = self.changes.pop_front() {
            self.running_change -= change.running;
            self.queued_change -= change.queued;
        }
    }
}

/// Extrapolates a local change to all entries.
fn scale_up(change: i64, share: f64) -> f64 {
    let change = i32::try_from(change).unwrap_or(if change < 0 { i32::MIN } else { i32::MAX });
    f64::from(change) / share
}
