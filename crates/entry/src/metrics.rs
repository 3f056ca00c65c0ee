//! Metrics of an entry.

use std::sync::Arc;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

/// Metrics of an entry; clones share the values.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    pub(crate) requests: Family<StatusLabel, Counter>,
    pub(crate) refused: Family<ReasonLabel, Counter>,
    pub(crate) retries: Counter,
    pub(crate) open_requests: Gauge,
    pub(crate) open_streams: Gauge,
    pub(crate) broken_streams: Counter,
    /// Seconds from the arrival of a request until the response status and headers are
    /// known.
    pub(crate) answer_seconds: Histogram,
    pub(crate) pools: PoolMetrics,
    pub(crate) links: LinkMetrics,
}

/// Gauges of the links to agents.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkMetrics {
    pub(crate) up: Gauge,
    pub(crate) agents: Gauge,
}

/// Gauges per pool, labelled with the model or service.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolMetrics {
    pub(crate) ready: Family<PoolLabel, Gauge>,
    pub(crate) running: Family<PoolLabel, Gauge>,
    pub(crate) waiting: Family<PoolLabel, Gauge>,
    pub(crate) places: Family<PoolLabel, Gauge>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PoolLabel {
    pub(crate) pool: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StatusLabel {
    pub(crate) status: u16,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabel {
    pub(crate) reason: String,
}

impl Metrics {
    /// Creates the metrics and the registry that exposes them.
    pub(crate) fn new() -> (Self, Arc<Registry>) {
        let metrics = Metrics {
            requests: Family::default(),
            refused: Family::default(),
            retries: Counter::default(),
            open_requests: Gauge::default(),
            open_streams: Gauge::default(),
            broken_streams: Counter::default(),
            answer_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 18)),
            pools: PoolMetrics::default(),
            links: LinkMetrics::default(),
        };
        let mut registry = Registry::with_prefix("lovageramp_entry");
        metrics.register(&mut registry);
        (metrics, Arc::new(registry))
    }

    fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests answered", self.requests.clone());
        registry.register("refused", "Requests not let in", self.refused.clone());
        registry.register("retries", "Attempts after the first", self.retries.clone());
        let open = self.open_requests.clone();
        registry.register("open_requests", "Requests in progress", open);
        let open = self.open_streams.clone();
        registry.register("open_streams", "Streams in progress", open);
        let broken = self.broken_streams.clone();
        registry.register("broken_streams", "Streams broken off", broken);
        let seconds = self.answer_seconds.clone();
        registry.register("answer_seconds", "Time to the head of an answer", seconds);
        let links = self.links.clone();
        registry.register("links", "Links to agents that are up", links.up);
        registry.register("agents", "Agents known, linked or not", links.agents);
        let pools = self.pools.clone();
        registry.register("ready_targets", "Targets that may be chosen", pools.ready);
        registry.register("running", "Requests that hold a place", pools.running);
        registry.register("waiting", "Requests that wait for a place", pools.waiting);
        registry.register("places", "Places open to this entry", pools.places);
    }
}
