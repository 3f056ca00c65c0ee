//! Rate limit for log lines, per call site.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A log statement in the source code: its module path and line.
pub type Callsite = (&'static str, u32);

/// Maximum number of lines that a call site may write in a burst: about one line for
/// each request that an entry receives in two seconds.
const BURST_LINES: f64 = 100.0;
/// Interval at which a call site regains one line: 40 lines per second, about the request
/// rate of an entry. At 300 bytes per line, the few call sites that log every request
/// write up to 50 KB per second.
const REFILL_INTERVAL: Duration = Duration::from_millis(25);

/// Limits the rate of log lines with a token bucket per call site.
///
/// Under load, one call site, such as the one that logs rejected requests, can be reached
/// thousands of times per second. Writing every line would take processor time and
/// disk bandwidth from the requests, and rare events would be hard to find. Lines that
/// are left out are counted and reported with the next line of the same call site.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let mut limiter = trace::LogRateLimiter::default();
/// let now = Instant::now();
/// let admitted = (0..1_000).filter(|_| limiter.admit(("direct::course", 1), now).is_some());
/// assert_eq!(admitted.count(), 100);
/// let later = now + Duration::from_secs(1);
/// assert_eq!(limiter.admit(("direct::course", 1), later), Some(900));
/// ```
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    buckets: BTreeMap<Callsite, Bucket>,
}

#[derive(Debug)]
struct Bucket {
    available: f64,
    refilled_at: Instant,
    left_out: u64,
}

impl LogRateLimiter {
    /// Decides whether a line may be written now. Returns the number of lines of the same
    /// call site left out before it, or `None` if this line must be left out too.
    pub fn admit(&mut self, callsite: Callsite, now: Instant) -> Option<u64> {
        let bucket = self.buckets.entry(callsite).or_insert(Bucket {
            available: BURST_LINES,
            refilled_at: now,
            left_out: 0,
        });
        let elapsed = now
            .saturating_duration_since(bucket.refilled_at)
            .as_secs_f64();
        bucket.available =
            (bucket.available + elapsed / REFILL_INTERVAL.as_secs_f64()).min(BURST_LINES);
        bucket.refilled_at = now;
        if bucket.available < 1.0 {
            bucket.left_out += 1;
            return None;
        }
        bucket.available -= 1.0;
        Some(std::mem::take(&mut bucket.left_out))
    }

    /// Records that an admitted line could not be written, together with the `left_out` lines
    /// that it would have reported.
    pub fn record_lost(&mut self, callsite: Callsite, left_out: u64) {
        if let Some(bucket) = self.buckets.get_mut(&callsite) {
            bucket.left_out += left_out + 1;
        }
    }
}
