//! Share of the starts for requests of lower priority.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::Priority;

/// Most starts that may be due at once.
const MAX_DUE: f64 = 2.0;
/// Most priorities for which starts are counted. Priorities come from the
/// configuration, so that more are not expected.
const MAX_PRIORITIES: usize = 64;
/// Time without starts after which the counts are void.
const MEMORY: Duration = Duration::from_secs(2);
/// Tolerance for rounding.
const ROUNDING: f64 = 1e-6;

/// Keeps a share of the starts for less urgent requests while such requests
/// wait.
///
/// For each priority, it counts the starts that are due to requests less urgent
/// than that. Starts of that priority and more urgent ones raise the count by so
/// much that the share results; less urgent starts lower it by one. Nothing is
/// counted while nobody less urgent waits, since those who arrive later would
/// otherwise precede all others for a long time.
#[derive(Clone, Debug)]
pub(crate) struct BackgroundShare {
    share: f64,
    due: BTreeMap<Priority, f64>,
    updated: Option<Instant>,
}

impl BackgroundShare {
    pub(crate) fn new(share: f64) -> Self {
        BackgroundShare {
            share,
            due: BTreeMap::new(),
            updated: None,
        }
    }

    /// Whether the next start is due to requests less urgent than `priority`.
    pub(crate) fn is_due(&self, priority: Priority, now: Instant) -> bool {
        let due = self.due.get(&priority);
        !self.is_void(now) && due.is_some_and(|due| *due >= 1.0 - ROUNDING)
    }

    /// Whether the next start is due to requests of `priority` or less urgent ones.
    pub(crate) fn is_due_to(&self, priority: Priority, now: Instant) -> bool {
        let mut more_urgent = self.due.range(..priority);
        !self.is_void(now) && more_urgent.any(|(_, due)| *due >= 1.0 - ROUNDING)
    }

    /// A request was started, out of `recent_starts` in the last two seconds.
    /// `least_urgent` is the least urgent priority of those that still wait.
    pub(crate) fn record_start(
        &mut self,
        priority: Priority,
        least_urgent: Option<Priority>,
        recent_starts: f64,
        now: Instant,
    ) {
        if self.is_void(now) {
            self.due.clear();
        }
        self.updated = Some(now);
        // Starts beyond the share count for as long as they are recent.
        let min_due = -self.share * recent_starts;
        for due in self.due.range_mut(..priority).map(|(_, due)| due) {
            *due = (*due - 1.0).max(min_due).min(*due);
        }
        let has_background = least_urgent.is_some_and(|least| priority < least);
        if has_background && self.due.len() < MAX_PRIORITIES {
            self.due.entry(priority).or_insert(0.0);
        }
        for due in self.due.range_mut(priority..).map(|(_, due)| due) {
            *due = (*due + self.share / (1.0 - self.share)).min(MAX_DUE);
        }
    }

    /// Drops the counts of priorities than which nobody less urgent waits.
    pub(crate) fn retain_below(&mut self, least_urgent: Option<Priority>) {
        self.due
            .retain(|priority, _| least_urgent.is_some_and(|least| *priority < least));
    }

    fn is_void(&self, now: Instant) -> bool {
        self.updated
            .is_none_or(|updated| now.saturating_duration_since(updated) >= MEMORY)
    }
}
