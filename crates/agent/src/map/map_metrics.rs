//! Metrics of the agent that coordinates a group's expert maps.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Balance of the groups that this agent coordinates.
#[derive(Clone, Debug, Default)]
pub(crate) struct MapMetrics {
    imbalance: Family<GroupLabel, Gauge<f64, AtomicU64>>,
    min_imbalance: Family<GroupLabel, Gauge<f64, AtomicU64>>,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct GroupLabel {
    group: String,
}

/// Load of the busiest rank over the mean, for the estimated demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Balance {
    /// Under the map in force.
    pub imbalance: f64,
    /// Lower bound for any map.
    pub min_imbalance: f64,
}

impl MapMetrics {
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "agent_map_imbalance",
            "Load of the busiest rank over the mean, under the map in force and for the estimated demand, by group",
            self.imbalance.clone(),
        );
        registry.register(
            "agent_map_imbalance_bound",
            "Lower bound of the load of the busiest rank over the mean for the estimated demand, by group",
            self.min_imbalance.clone(),
        );
    }

    pub fn set(&self, group: &str, balance: Balance) {
        let label = GroupLabel {
            group: group.to_owned(),
        };
        let min_imbalance = self.min_imbalance.get_or_create(&label);
        min_imbalance.set(balance.min_imbalance);
        self.imbalance.get_or_create(&label).set(balance.imbalance);
    }

    /// Removes the figures of a group that another agent coordinates now.
    pub fn remove(&self, group: &str) {
        let label = GroupLabel {
            group: group.to_owned(),
        };
        self.imbalance.remove(&label);
        self.min_imbalance.remove(&label);
    }
}
