//! Metrics of a replica.

use admin::Registry;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;

/// Metrics of a replica; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics {
    pub(crate) has_leader: Gauge,
    pub(crate) leads: Gauge,
    pub(crate) term: Gauge,
    pub(crate) forming: Gauge,
    pub(crate) applied: Gauge,
    pub(crate) committed: Gauge,
    pub(crate) note: Gauge,
    pub(crate) disk_full: Gauge,
    pub(crate) ledger_records: Gauge,
    pub(crate) ledger_bytes: Gauge,
    pub(crate) ledger_unproved: Gauge,
    pub(crate) nodes: Gauge,
    pub(crate) evacuated_zones: Gauge,
    pub(crate) tolerated_losses: Gauge,
    route_table: Family<[(&'static str, String); 1], Gauge>,
    pub(crate) commands: Counter,
    pub(crate) refused_commands: Counter,
    pub(crate) outdated_orders: Counter,
    pub(crate) renewals: Counter,
    pub(crate) renewal_messages: Counter,
    pub(crate) links_refused: Counter,
}

impl Metrics {
    /// Returns a registry of all metrics.
    pub(crate) fn registry(&self) -> Registry {
        let mut registry = Registry::with_prefix("lovageramp_control");
        let gauges = [
            ("has_leader", "1 while a leader is known", &self.has_leader),
            ("leads", "1 while this replica leads", &self.leads),
            ("term", "Newest term", &self.term),
            (
                "forming",
                "1 while a new cluster waits for replicas",
                &self.forming,
            ),
            ("applied", "Last entry applied", &self.applied),
            ("committed", "Last entry committed", &self.committed),
            ("note", "Newest release note applied here", &self.note),
            (
                "disk_full",
                "1 while a write waits for room",
                &self.disk_full,
            ),
            (
                "ledger_records",
                "Records of non-repeatable calls",
                &self.ledger_records,
            ),
            ("ledger_bytes", "Bytes of those records", &self.ledger_bytes),
            (
                "ledger_unproved",
                "Non-repeatable calls that nobody proved to have ended",
                &self.ledger_unproved,
            ),
            (
                "nodes",
                "Nodes that hold a lease from this leader",
                &self.nodes,
            ),
            (
                "evacuated_zones",
                "Availability zones that are evacuated",
                &self.evacuated_zones,
            ),
            (
                "tolerated_losses",
                "Disks that may still be lost at once; -1 unless this replica leads",
                &self.tolerated_losses,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        let counters = [
            ("commands", "Commands applied", &self.commands),
            (
                "refused_commands",
                "Commands not taken",
                &self.refused_commands,
            ),
            (
                "outdated_orders",
                "Evacuation orders refused because the evacuations had changed since",
                &self.outdated_orders,
            ),
            ("renewals", "Renewals answered as leader", &self.renewals),
            (
                "renewal_messages",
                "Messages that they came in",
                &self.renewal_messages,
            ),
            (
                "links_refused",
                "Connections of other processes that didn't prove the cluster key",
                &self.links_refused,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "route_table",
            "Number of the route table in force on this replica, by the digest of its content",
            self.route_table.clone(),
        );
        registry
    }

    /// Sets the number and the digest of the route table in force.
    pub(crate) fn set_route_table(&self, number: u64, digest: String) {
        self.route_table.clear();
        let number = i64::try_from(number).unwrap_or(i64::MAX);
        self.route_table
            .get_or_create(&[("digest", digest)])
            .set(number);
    }
}
