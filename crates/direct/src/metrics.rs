//! What a director counts.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

type Label = [(&'static str, String); 1];

/// What a director counts; clones share the counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics {
    endings: Family<Label, Counter>,
    misses: Family<Label, Counter>,
    pub(crate) open: Gauge,
}

impl Metrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let endings = self.endings.clone();
        registry.register("requests", "Requests of callers by how they ended", endings);
        let misses = self.misses.clone();
        registry.register("misses", "Attempts without an answer to pass on", misses);
        let open = self.open.clone();
        registry.register(
            "open_requests",
            "Requests without a head of an answer",
            open,
        );
    }

    pub(crate) fn ended(&self, how: &str) {
        self.endings
            .get_or_create(&[("ending", how.to_owned())])
            .inc();
    }

    pub(crate) fn miss(&self, what: &str) {
        self.misses
            .get_or_create(&[("kind", what.to_owned())])
            .inc();
    }
}
