//! Metric for the number of log lines left out.

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::counter::ConstCounter;
use std::fmt;

/// Counter of the log lines that a process has left out, read on each scrape.
///
/// ```
/// let mut registry = admin::Registry::default();
/// registry.register_collector(Box::new(admin::LinesLeftOut(|| 3)));
/// let routes = admin::MonitoringRoutes::new(std::sync::Arc::new(registry), || Ok(()));
/// assert!(routes.answer(&admin::Method::GET, "/metrics").is_some());
/// ```
#[derive(Clone, Copy)]
pub struct LinesLeftOut(pub fn() -> u64);

impl fmt::Debug for LinesLeftOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("LinesLeftOut").field(&(self.0)()).finish()
    }
}

impl Collector for LinesLeftOut {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        let count = ConstCounter::new((self.0)());
        let help = "Log lines left out: too many of a kind, or nobody read them";
        let metric =
            encoder.encode_descriptor("log_lines_left_out", help, None, count.metric_type())?;
        count.encode(metric)
    }
}
