//! Trials of targets of unknown load.

use std::time::{Duration, Instant};

use crate::TargetKey;

/// Time after which another target is tried although the previous one has not reported
/// its load.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two trials after one that has found a full target; doubles with each
/// further one.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);

/// The trials of targets of unknown load, one at a time.
///
/// In an overload of all targets, each trial delays a request that could as well be
/// refused, and those that follow it at its target. Trials are therefore spaced while
/// they find full targets.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoadProbe {
    /// The target that is being tried, and since when.
    current: Option<(TargetKey, Instant)>,
    /// Time between two trials; zero if the last one has found a free slot.
    interval: Duration,
    due_at: Option<Instant>,
}

impl LoadProbe {
    /// Whether a target may be tried.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        let is_waiting = self
            .current
            .is_some_and(|(_, since)| now.saturating_duration_since(since) < REPORT_TIMEOUT);
        !is_waiting && self.due_at.is_none_or(|due_at| due_at <= now)
    }

    /// Records that a target is being tried.
    pub(crate) fn begin(&mut self, key: TargetKey, now: Instant) {
        self.current = Some((key, now));
    }

    /// Records that a request to a target has ended.
    pub(crate) fn end(&mut self, key: TargetKey) {
        self.current = self.current.filter(|(tried, _)| *tried != key);
    }

    /// Records the load that a target has reported.
    pub(crate) fn record_report(&mut self, key: TargetKey, has_free_slot: bool, now: Instant) {
        if self.current.is_none_or(|(tried, _)| tried != key) {
            return;
        }
        self.current = None;
        self.interval = if has_free_slot {
            Duration::ZERO
        } else {
            (self.interval * 2).clamp(MIN_BACKOFF, MAX_BACKOFF)
        };
        self.due_at = Some(now + self.interval);
    }
}
