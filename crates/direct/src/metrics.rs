//! Metrics of the proxy.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use route::{Priority, QueueStats};
use std::sync::atomic::AtomicU64;
use std::time::Duration;

type ServiceLabel = [(&'static str, String); 1];
type ServiceAndEnding = [(&'static str, String); 2];
type ServiceAndState = [(&'static str, String); 2];
type QueueLabels = [(&'static str, String); 3];
type QueueRefusalLabels = [(&'static str, String); 4];
type KindLabel = [(&'static str, String); 1];

/// Metrics of the proxy. Clones share their values.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    endings: Family<ServiceAndEnding, Counter>,
    failed_attempts: Family<KindLabel, Counter>,
    response_starts: Family<ServiceLabel, Histogram>,
    target_waits: Family<ServiceLabel, Histogram>,
    targets: Family<ServiceAndState, Gauge>,
    retries: Family<ServiceLabel, Counter>,
    waiting: Family<QueueLabels, Gauge>,
    oldest_waiting: Family<QueueLabels, Gauge<f64, AtomicU64>>,
    starts_after_wait: Family<QueueLabels, Counter>,
    slot_refusals: Family<QueueRefusalLabels, Counter>,
    route_table: Gauge,
    route_table_content: Family<[(&'static str, String); 1], Gauge>,
    pub(crate) target_crashes: Counter,
    pub(crate) open_requests: Gauge,
}

/// Buckets from 5 ms, a few round trips, to 10 s, above any timeout of a route.
fn new_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 12))
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            endings: Family::default(),
            failed_attempts: Family::default(),
            response_starts: Family::new_with_constructor(new_histogram),
            target_waits: Family::new_with_constructor(new_histogram),
            targets: Family::default(),
            retries: Family::default(),
            waiting: Family::default(),
            oldest_waiting: Family::default(),
            starts_after_wait: Family::default(),
            slot_refusals: Family::default(),
            route_table: Gauge::default(),
            route_table_content: Family::default(),
            target_crashes: Counter::default(),
            open_requests: Gauge::default(),
        }
    }
}

impl Metrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let endings = self.endings.clone();
        let help = "Requests of callers by service and how they ended";
        registry.register("requests", help, endings);
        let failed_attempts = self.failed_attempts.clone();
        registry.register(
            "misses",
            "Attempts without an answer to pass on",
            failed_attempts,
        );
        let response_starts = self.response_starts.clone();
        let help = "Time from a request to the head of its answer";
        registry.register_with_unit("answer_began", help, Unit::Seconds, response_starts);
        let target_waits = self.target_waits.clone();
        let help = "Time that requests waited for a target to come or be able";
        registry.register_with_unit("waited_for_target", help, Unit::Seconds, target_waits);
        let targets = self.targets.clone();
        let help = "Targets by service and whether they take work";
        registry.register("targets", help, targets);
        let retries = self.retries.clone();
        let help = "Requests sent to a further target, as the service's budget bore them";
        registry.register("retries", help, retries);
        self.register_queue(registry);
        let route_table = self.route_table.clone();
        registry.register(
            "route_table",
            "Number of the route table in force",
            route_table,
        );
        registry.register(
            "route_table_content",
            "Number of the route table in force, by the digest of its content",
            self.route_table_content.clone(),
        );
        let target_crashes = self.target_crashes.clone();
        let help = "Crashes of targets while requests of this entry ran on them";
        registry.register("target_crashes", help, target_crashes);
        let open_requests = self.open_requests.clone();
        let help = "Requests without a head of an answer";
        registry.register("open_requests", help, open_requests);
    }

    fn register_queue(&self, registry: &mut Registry) {
        let waiting = self.waiting.clone();
        let help = "Requests that wait for a slot, by priority";
        registry.register("queue_waiting", help, waiting);
        let oldest = self.oldest_waiting.clone();
        let help = "How long the request has waited that waits the longest, by priority";
        registry.register_with_unit("queue_oldest", help, Unit::Seconds, oldest);
        let starts = self.starts_after_wait.clone();
        let help = "Requests that got a slot after waiting for it, by priority";
        registry.register("queue_starts", help, starts);
        let refusals = self.slot_refusals.clone();
        let help = "Requests that got no slot, by priority and reason";
        registry.register("queue_refusals", help, refusals);
    }

    /// Sets how many requests of a priority wait for a slot, and since when.
    pub(crate) fn set_queue(&self, service: &str, stats: &QueueStats) {
        let labels = queue_labels(service, stats.priority);
        let waiting = i64::try_from(stats.waiting).unwrap_or(i64::MAX);
        self.waiting.get_or_create(&labels).set(waiting);
        let oldest = stats.oldest.as_secs_f64();
        self.oldest_waiting.get_or_create(&labels).set(oldest);
    }

    pub(crate) fn started_after_wait(&self, service: &str, priority: Priority) {
        let labels = queue_labels(service, priority);
        self.starts_after_wait.get_or_create(&labels).inc();
    }

    pub(crate) fn slot_refused(&self, service: &str, priority: Priority, why: &str) {
        let [service, account, route] = queue_labels(service, priority);
        let labels = [service, account, route, ("reason", why.to_owned())];
        self.slot_refusals.get_or_create(&labels).inc();
    }

    pub(crate) fn request_ended(&self, service: &str, ending: &str) {
        let labels = [
            ("service", service.to_owned()),
            ("ending", ending.to_owned()),
        ];
        self.endings.get_or_create(&labels).inc();
    }

    pub(crate) fn attempt_failed(&self, kind: &str) {
        self.failed_attempts
            .get_or_create(&[("kind", kind.to_owned())])
            .inc();
    }

    pub(crate) fn response_started(&self, service: &str, elapsed: Duration) {
        let labels = [("service", service.to_owned())];
        self.response_starts
            .get_or_create(&labels)
            .observe(elapsed.as_secs_f64());
    }

    pub(crate) fn waited(&self, service: &str, time: Duration) {
        let labels = [("service", service.to_owned())];
        self.target_waits
            .get_or_create(&labels)
            .observe(time.as_secs_f64());
    }

    pub(crate) fn retried(&self, service: &str) {
        let labels = [("service", service.to_owned())];
        self.retries.get_or_create(&labels).inc();
    }

    /// Sets the number and the digest of the route table in force.
    pub(crate) fn set_route_table(&self, number: u64, digest: String) {
        let number = i64::try_from(number).unwrap_or(i64::MAX);
        self.route_table.set(number);
        self.route_table_content.clear();
        self.route_table_content
            .get_or_create(&[("digest", digest)])
            .set(number);
    }

    /// Sets the numbers of available and unavailable targets of a service.
    pub(crate) fn set_targets(&self, service: &str, available: usize, all: usize) {
        for (state, count) in [("able", available), ("out", all.saturating_sub(available))] {
            let labels = [("service", service.to_owned()), ("state", state.to_owned())];
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.targets.get_or_create(&labels).set(count);
        }
    }
}

fn queue_labels(service: &str, priority: Priority) -> QueueLabels {
    [
        ("service", service.to_owned()),
        ("priority", priority.account.to_string()),
        ("route_priority", priority.route.to_string()),
    ]
}
