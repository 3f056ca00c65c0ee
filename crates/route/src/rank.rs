//! One rank's load, estimated from an old report and what was sent since.

use std::collections::VecDeque;
use std::time::Instant;

use crate::RankLoadReport;

/// Own starts and ends that are kept while no report covers them.
const MAX_CHANGES: usize = 4096;

/// The estimated load of one rank.
///
/// A report is old when it arrives. The estimate is the report plus what this
/// entry started since then, less what it saw end, scaled up by its share of
/// the traffic to stand for what the other entries did meanwhile.
#[derive(Debug, Default)]
pub(crate) struct Rank {
    pub(crate) report: RankLoadReport,
    /// Own attempts on the rank, known exactly.
    pub(crate) own_running: u32,
    /// Prompt tokens of own attempts without a first token yet.
    pub(crate) own_queued: u32,
    changes: VecDeque<Change>,
    running_since: i64,
    queued_since: i64,
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

    /// Takes a report and forgets the changes that it already covers.
    pub(crate) fn reported(&mut self, report: RankLoadReport, taken: Instant) {
        self.report = report;
        while self.changes.front().is_some_and(|c| c.at <= taken) {
            self.drop_oldest();
        }
    }

    pub(crate) fn started(&mut self, now: Instant, tokens: u32) {
        self.own_running += 1;
        self.own_queued = self.own_queued.saturating_add(tokens);
        self.change(now, 1, i64::from(tokens));
    }

    pub(crate) fn prefilled(&mut self, now: Instant, tokens: u32) {
        self.own_queued = self.own_queued.saturating_sub(tokens);
        self.change(now, 0, -i64::from(tokens));
    }

    pub(crate) fn ended(&mut self, now: Instant) {
        self.own_running = self.own_running.saturating_sub(1);
        self.change(now, -1, 0);
    }

    /// Requests that run on the rank, as estimated.
    pub(crate) fn running(&self, share: f64) -> f64 {
        let estimate = f64::from(self.report.running) + scaled(self.running_since, share);
        estimate.max(f64::from(self.own_running))
    }

    /// Prompt tokens that wait on the rank, as estimated.
    pub(crate) fn queued(&self, share: f64) -> f64 {
        let estimate = f64::from(self.report.queued_tokens) + scaled(self.queued_since, share);
        estimate.max(f64::from(self.own_queued))
    }

    fn change(&mut self, at: Instant, running: i64, queued: i64) {
        if self.changes.len() >= MAX_CHANGES {
            self.drop_oldest();
        }
        self.running_since += running;
        self.queued_since += queued;
        self.changes.push_back(Change {
            at,
            running,
            queued,
        });
    }

    fn drop_oldest(&mut self) {
        if let Some(change) = self.changes.pop_front() {
            self.running_since -= change.running;
            self.queued_since -= change.queued;
        }
    }
}

fn scaled(change: i64, share: f64) -> f64 {
    let change = i32::try_from(change).unwrap_or(if change < 0 { i32::MIN } else { i32::MAX });
    f64::from(change) / share
}
