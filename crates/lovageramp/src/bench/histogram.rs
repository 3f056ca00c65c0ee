//! Times, in a histogram.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Three digits are kept of each value.
const DIGITS: u8 = 3;

/// Longer times count as this long: an hour, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// Times in microseconds, with three digits kept.
pub(super) struct Times(Histogram<u64>);

impl Times {
    pub(super) fn new() -> eyre::Result<Self> {
        Ok(Times(Histogram::new_with_max(LONGEST, DIGITS)?))
    }

    pub(super) fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Milliseconds at a quantile.
    pub(super) fn at(&self, quantile: f64) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "microseconds of hours fit 52 bits"
        )]
        let micros = self.0.value_at_quantile(quantile) as f64;
        micros / 1_000.0
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(super) fn to_json(&self) -> Value {
        json!({
            "count": self.0.len(),
            "p50_ms": self.at(0.5),
            "p95_ms": self.at(0.95),
            "p99_ms": self.at(0.99),
            "max_ms": self.at(1.0),
        })
    }
}
