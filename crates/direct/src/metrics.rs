//! What a director counts.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use std::time::Duration;

type Service = [(&'static str, String); 1];
type Ending = [(&'static str, String); 2];
type Kind = [(&'static str, String); 1];

/// What a director counts; clones share the counts.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    endings: Family<Ending, Counter>,
    misses: Family<Kind, Counter>,
    heads: Family<Service, Histogram>,
    waits: Family<Service, Histogram>,
    targets: Family<Ending, Gauge>,
    retries: Family<Service, Counter>,
    table: Gauge,
    pub(crate) open: Gauge,
}

/// From 5 ms, a few round trips, to 10 s, beyond any timeout of a route.
fn buckets() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 12))
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            endings: Family::default(),
            misses: Family::default(),
            heads: Family::new_with_constructor(buckets),
            waits: Family::new_with_constructor(buckets),
            targets: Family::default(),
            retries: Family::default(),
            table: Gauge::default(),
            open: Gauge::default(),
        }
    }
}

impl Metrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let endings = self.endings.clone();
        let help = "Requests of callers by service and how they ended";
        registry.register("requests", help, endings);
        let misses = self.misses.clone();
        registry.register("misses", "Attempts without an answer to pass on", misses);
        let heads = self.heads.clone();
        let help = "Time from a request to the head of its answer";
        registry.register_with_unit("answer_began", help, Unit::Seconds, heads);
        let waits = self.waits.clone();
        let help = "Time that requests waited for a target to come or be able";
        registry.register_with_unit("waited_for_target", help, Unit::Seconds, waits);
        let targets = self.targets.clone();
        let help = "Targets by service and whether they take work";
        registry.register("targets", help, targets);
        let retries = self.retries.clone();
        let help = "Requests sent to a further target, as the service's budget bore them";
        registry.register("retries", help, retries);
        let table = self.table.clone();
        registry.register("route_table", "Number of the route table in force", table);
        let open = self.open.clone();
        let help = "Requests without a head of an answer";
        registry.register("open_requests", help, open);
    }

    pub(crate) fn ended(&self, service: &str, how: &str) {
        let labels = [("service", service.to_owned()), ("ending", how.to_owned())];
        self.endings.get_or_create(&labels).inc();
    }

    pub(crate) fn miss(&self, what: &str) {
        self.misses
            .get_or_create(&[("kind", what.to_owned())])
            .inc();
    }

    pub(crate) fn began(&self, service: &str, after: Duration) {
        let labels = [("service", service.to_owned())];
        self.heads
            .get_or_create(&labels)
            .observe(after.as_secs_f64());
    }

    pub(crate) fn waited(&self, service: &str, time: Duration) {
        let labels = [("service", service.to_owned())];
        self.waits
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    pub(crate) fn retried(&self, service: &str) {
        let labels = [("service", service.to_owned())];
        self.retries.get_or_create(&labels).inc();
    }

    pub(crate) fn set_table(&self, number: u64) {
        self.table.set(i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// How many targets of a service take work, and how many don't.
    pub(crate) fn set_targets(&self, service: &str, able: usize, all: usize) {
        for (state, count) in [("able", able), ("out", all.saturating_sub(able))] {
            let labels = [("service", service.to_owned()), ("state", state.to_owned())];
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.targets.get_or_create(&labels).set(count);
        }
    }
}
