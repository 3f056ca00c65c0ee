//! Latency histograms.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Significant digits kept of each value.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Longer times are recorded as this value: one hour in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;

/// Histogram of durations in microseconds.
pub(super) struct DurationHistogram(Histogram<u64>);

impl DurationHistogram {
    pub(super) fn new() -> eyre::Result<Self> {
        Ok(DurationHistogram(Histogram::new_with_max(
            MAX_MICROS,
            SIGNIFICANT_DIGITS,
        )?))
    }

    pub(super) fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns the value at a quantile in milliseconds.
    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        #[expect(
            clippy::cast_precision_loss,
            reason = "one hour in microseconds fits in 52 bits"
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
            "p50_ms": self.quantile_ms(0.5),
            "p95_ms": self.quantile_ms(0.95),
            "p99_ms": self.quantile_ms(0.99),
            "max_ms": self.quantile_ms(1.0),
        })
    }
}
