//! How many lines each kind of event may have.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// One place in the code that logs: its module and line.
pub type Callsite = (&'static str, u32);

/// Lines that a kind of event may write at once, after a quiet time: what is said
/// of the requests of two seconds at an entry.
const BURST: f64 = 100.0;
/// Time in which one more line of a kind may be written: forty a second, as many
/// requests as an entry takes. At 300 bytes a line the few kinds that come with
/// each request make up to 50 KB a second.
const REFILL: Duration = Duration::from_millis(25);

/// How many lines each kind of event may have.
///
/// Under load one kind, such as a refusal, may come thousands of times a second.
/// Were each written, logs would take the processor and the disk that callers
/// need, and what is rare would be lost among them. What is left out is counted,
/// and told with the next line of its kind.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// let mut budget = trace::LogRateLimiter::default();
/// let now = Instant::now();
/// let storm = (0..1_000).filter(|_| budget.admit(("direct::course", 1), now).is_some());
/// assert_eq!(storm.count(), 100);
/// let later = now + Duration::from_secs(1);
/// assert_eq!(budget.admit(("direct::course", 1), later), Some(900));
/// ```
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    kinds: BTreeMap<Callsite, Kind>,
}

#[derive(Debug)]
struct Kind {
    left: f64,
    at: Instant,
    left_out: u64,
}

impl LogRateLimiter {
    /// Whether a line may be written now: the number of those of its kind that
    /// were left out before it, or none if it is left out too.
    pub fn admit(&mut self, event: Callsite, now: Instant) -> Option<u64> {
        let kind = self.kinds.entry(event).or_insert(Kind {
            left: BURST,
            at: now,
            left_out: 0,
        });
        let elapsed = now.saturating_duration_since(kind.at).as_secs_f64();
        kind.left = (kind.left + elapsed / REFILL.as_secs_f64()).min(BURST);
        kind.at = now;
        if kind.left < 1.0 {
            kind.left_out += 1;
            return None;
        }
        kind.left -= 1.0;
        Some(std::mem::take(&mut kind.left_out))
    }

    /// Counts a line that was admitted and couldn't be written.
    pub fn lost(&mut self, event: Callsite, left_out: u64) {
        if let Some(kind) = self.kinds.get_mut(&event) {
            kind.left_out += left_out + 1;
        }
    }
}
