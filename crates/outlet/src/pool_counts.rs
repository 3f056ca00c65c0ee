//! Metrics of the connections to a target.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of the connections to a target; clones share the values.
#[derive(Clone, Debug, Default)]
pub struct PoolCounts {
    /// Connections that were opened for a call.
    pub opened: Counter,
    /// Calls that reused a kept connection.
    pub reused: Counter,
    /// Kept connections that were closed without being reused.
    pub dropped: Counter,
    /// Connections that are currently kept.
    pub kept: Gauge,
}

impl PoolCounts {
    /// Registers the metrics. The registry supplies the prefix of their names.
    ///
    /// ```
    /// let mut registry = prometheus_client::registry::Registry::default();
    /// outlet::PoolCounts::default().register(&mut registry);
    /// ```
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "connections_opened",
            "Connections opened for a call of the target",
            self.opened.clone(),
        );
        registry.register(
            "connections_reused",
            "Calls of the target over a connection that was kept",
            self.reused.clone(),
        );
        registry.register(
            "connections_dropped",
            "Kept connections that were closed without a further call",
            self.dropped.clone(),
        );
        registry.register(
            "connections_kept",
            "Connections to the target that are kept now",
            self.kept.clone(),
        );
    }

    pub(crate) fn set_kept(&self, kept: usize) {
        self.kept.set(i64::try_from(kept).unwrap_or(i64::MAX));
    }
}
