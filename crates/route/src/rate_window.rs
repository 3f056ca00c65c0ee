//! Rate of events over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

/// Length of a bucket in milliseconds.
const BUCKET_MS: u128 = 100;
/// Buckets in the window of two seconds.
const BUCKETS: u128 = 20;
/// Shortest time from which a rate is computed. Bursts dominate shorter ones.
const MIN_SPAN: Duration = Duration::from_millis(500);

/// Counts the events of the last two seconds. Times are given as durations since
/// an origin that the caller chooses.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateWindow {
    /// Number and count of each bucket with events.
    buckets: VecDeque<(u128, u32)>,
    /// When the first event was recorded since the window was last empty.
    began: Duration,
}

impl RateWindow {
    pub(crate) fn record(&mut self, at: Duration) {
        let bucket = at.as_millis() / BUCKET_MS;
        while self
            .buckets
            .front()
            .is_some_and(|b| b.0 + BUCKETS <= bucket)
        {
            self.buckets.pop_front();
        }
        if self.buckets.is_empty() {
            self.began = at;
        }
        match self.buckets.back_mut() {
            Some((number, count)) if *number >= bucket => *count = count.saturating_add(1),
            _ => self.buckets.push_back((bucket, 1)),
        }
    }

    /// Number of events in the window.
    pub(crate) fn count(&self, at: Duration) -> u32 {
        let bucket = at.as_millis() / BUCKET_MS;
        let recent = self.buckets.iter().filter(|b| b.0 + BUCKETS > bucket);
        recent.fold(0, |sum, b| sum.saturating_add(b.1))
    }

    /// Events per second, or `None` if there were fewer than `min_count` or the
    /// first of them is too recent.
    pub(crate) fn per_second(&self, at: Duration, min_count: u32) -> Option<f64> {
        let count = self.count(at);
        let first_bucket = (at.as_millis() / BUCKET_MS).saturating_sub(BUCKETS - 1);
        let first_ms = u64::try_from(first_bucket * BUCKET_MS).unwrap_or(u64::MAX);
        let span = at.saturating_sub(self.began.max(Duration::from_millis(first_ms)));
        let is_measured = count >= min_count.max(1) && span >= MIN_SPAN;
        is_measured.then(|| f64::from(count) / span.as_secs_f64())
    }
}
