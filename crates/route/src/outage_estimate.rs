//! Prediction of when an outage of a service ends.

use std::time::{Duration, Instant};

/// Weight of the latest outage in the mean length.
const LATEST_WEIGHT: f64 = 0.5;
/// Shorter outages are not measured: single requests that are declined look like one.
const MIN_MEASURED: Duration = Duration::from_millis(50);
/// An outage that begins again within this time has not ended. A group that re-forms may
/// accept a single request before it declines the next ones.
const MAX_INTERRUPTION: Duration = Duration::from_millis(200);

/// Predicts how long an outage of a service still lasts, from the lengths of earlier ones.
///
/// An outage that lasts longer than predicted is expected to last half as long again, as
/// for each time since its start a similar time remains.
///
/// ```
/// use route::OutageEstimate;
/// use std::time::{Duration, Instant};
///
/// let begin = Instant::now();
/// let at = |ms| begin + Duration::from_millis(ms);
/// let mut estimate = OutageEstimate::new(Duration::from_secs(3));
/// assert_eq!(estimate.remaining(begin), None);
/// assert_eq!(estimate.began(begin), Some(Duration::from_secs(3)));
/// assert_eq!(estimate.remaining(at(1_000)), Some(Duration::from_secs(2)));
/// assert_eq!(estimate.remaining(at(4_000)), Some(Duration::from_secs(2)));
/// estimate.ended(at(5_000));
/// assert_eq!(estimate.remaining(at(5_100)), None);
/// let outage = estimate.settle(at(5_200)).unwrap();
/// assert_eq!(outage.length, Duration::from_secs(5));
/// ```
#[derive(Clone, Debug)]
pub struct OutageEstimate {
    /// Length that is assumed without any measured outage.
    assumed: Duration,
    mean: Option<Duration>,
    current: Option<CurrentOutage>,
}

#[derive(Clone, Copy, Debug)]
struct CurrentOutage {
    since: Instant,
    predicted: Duration,
    /// When it ended, if it does not begin again.
    ended: Option<Instant>,
    /// Whether its length counts in the mean.
    is_measured: bool,
}

/// An outage that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MeasuredOutage {
    /// Its length.
    pub length: Duration,
    /// Its length as predicted when it began.
    pub predicted: Duration,
}

impl OutageEstimate {
    /// Creates an estimate that assumes this length until an outage has been measured.
    #[must_use]
    pub fn new(assumed: Duration) -> OutageEstimate {
        OutageEstimate {
            assumed,
            mean: None,
            current: None,
        }
    }

    /// Forgets all measured outages, also the present one, and assumes this length from now
    /// on until another outage has been measured.
    ///
    /// ```
    /// use route::OutageEstimate;
    /// use std::time::{Duration, Instant};
    ///
    /// let begin = Instant::now();
    /// let mut estimate = OutageEstimate::new(Duration::from_secs(1));
    /// estimate.began(begin);
    /// estimate.forget_measured(Duration::from_secs(3));
    /// estimate.ended(begin + Duration::from_secs(2));
    /// let later = begin + Duration::from_secs(9);
    /// assert_eq!(estimate.began(later), Some(Duration::from_secs(3)));
    /// ```
    pub fn forget_measured(&mut self, assumed: Duration) {
        self.assumed = assumed;
        self.mean = None;
        if let Some(current) = &mut self.current {
            current.is_measured = false;
        }
    }

    /// Records that the service has no available target. Returns the predicted length if
    /// an outage begins by that.
    pub fn began(&mut self, now: Instant) -> Option<Duration> {
        self.settle(now);
        if let Some(current) = &mut self.current {
            current.ended = None;
            return None;
        }
        let predicted = self.mean.unwrap_or(self.assumed);
        self.current = Some(CurrentOutage {
            since: now,
            predicted,
            ended: None,
            is_measured: true,
        });
        Some(predicted)
    }

    /// Records that the service has an available target.
    pub fn ended(&mut self, now: Instant) {
        if let Some(current) = &mut self.current {
            current.ended.get_or_insert(now);
        }
    }

    /// Returns the outage that ended so long ago that it does not begin again, once.
    pub fn settle(&mut self, now: Instant) -> Option<MeasuredOutage> {
        let current = self.current?;
        let ended = current.ended?;
        if now.saturating_duration_since(ended) < MAX_INTERRUPTION {
            return None;
        }
        self.current = None;
        let length = ended.saturating_duration_since(current.since);
        if length >= MIN_MEASURED && current.is_measured {
            self.mean = Some(self.mean.map_or(length, |mean| {
                mean.mul_f64(1.0 - LATEST_WEIGHT) + length.mul_f64(LATEST_WEIGHT)
            }));
        }
        Some(MeasuredOutage {
            length,
            predicted: current.predicted,
        })
    }

    /// Returns how long the outage is predicted to last from now on; `None` without one.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let current = self.current.filter(|current| current.ended.is_none())?;
        let elapsed = now.saturating_duration_since(current.since);
        let remaining = current.predicted.checked_sub(elapsed);
        Some(remaining.unwrap_or(elapsed / 2))
    }

    /// Returns when the outage began; `None` without one.
    #[must_use]
    pub fn since(&self) -> Option<Instant> {
        let current = self.current.filter(|current| current.ended.is_none());
        current.map(|current| current.since)
    }
}
