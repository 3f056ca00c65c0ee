//! Metrics of outages.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

type ServiceLabel = [(&'static str, String); 1];

/// Metrics of outages by service. Clones share their values.
#[derive(Clone, Debug)]
pub(crate) struct OutageMetrics {
    lengths: Family<ServiceLabel, Histogram>,
    predicted: Family<ServiceLabel, Gauge<f64, AtomicU64>>,
    refused: Family<ServiceLabel, Counter>,
    streams_held: Family<ServiceLabel, Counter>,
    streams_resumed: Family<ServiceLabel, Counter>,
}

/// Buckets from 50 ms, the shortest outage that is measured, to 100 s.
fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.05, 2.0, 12))
}

impl Default for OutageMetrics {
    fn default() -> OutageMetrics {
        OutageMetrics {
            lengths: Family::new_with_constructor(new_histogram),
            predicted: Family::default(),
            refused: Family::default(),
            streams_held: Family::default(),
            streams_resumed: Family::default(),
        }
    }
}

impl OutageMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let lengths = self.lengths.clone();
        let help = "Length of the outages of a service, in which no target took work";
        registry.register_with_unit("outage_length", help, Unit::Seconds, lengths);
        let predicted = self.predicted.clone();
        let help = "Length of the latest outage of a service as predicted when it began";
        registry.register_with_unit("outage_predicted", help, Unit::Seconds, predicted);
        let refused = self.refused.clone();
        let help = "Requests refused in an outage with the time of the predicted return";
        registry.register("refused_in_outage", help, refused);
        let streams_held = self.streams_held.clone();
        let help = "Broken streams kept open until a target takes work";
        registry.register("streams_held", help, streams_held);
        let streams_resumed = self.streams_resumed.clone();
        let help = "Broken streams that went on after they were kept open";
        registry.register("held_streams_resumed", help, streams_resumed);
    }

    pub(crate) fn began(&self, service: &str, predicted: Duration) {
        let predicted_seconds = self.predicted.get_or_create(&label(service));
        predicted_seconds.set(predicted.as_secs_f64());
    }

    pub(crate) fn ended(&self, service: &str, length: Duration) {
        let lengths = self.lengths.get_or_create(&label(service));
        lengths.observe(length.as_secs_f64());
    }

    pub(crate) fn refused(&self, service: &str) {
        self.refused.get_or_create(&label(service)).inc();
    }

    pub(crate) fn stream_held(&self, service: &str) {
        self.streams_held.get_or_create(&label(service)).inc();
    }

    pub(crate) fn stream_resumed(&self, service: &str) {
        self.streams_resumed.get_or_create(&label(service)).inc();
    }
}

fn label(service: &str) -> ServiceLabel {
    [("service", service.to_owned())]
}
