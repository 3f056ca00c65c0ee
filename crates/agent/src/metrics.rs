//! Metrics of an agent.

use std::sync::atomic::AtomicU64;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use wire::proto::End;

use crate::map::MapMetrics;
use crate::{Ending, Refusal};

/// Metrics of attempts, answers, links and the target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Metrics {
    accepted: Counter,
    refused: Family<Refused, Counter>,
    ended: Family<Ended, Counter>,
    crashes: Counter,
    links_refused: Counter,
    stalls: Counter,
    pub running: Gauge,
    pub held_bytes: Gauge,
    pub remembered: Gauge,
    pub links: Gauge,
    pub healthy: Gauge,
    answer_bytes: Counter<u64, AtomicU64>,
    pub maps: MapMetrics,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Refused {
    reason: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct Ended {
    end: String,
}

impl Metrics {
    pub fn register(&self, registry: &mut Registry) {
        self.maps.register(registry);
        let mut counter = |name: &str, help: &str, counter: &Counter| {
            registry.register(name, help, counter.clone());
        };
        counter("agent_attempts_taken", "Attempts taken", &self.accepted);
        counter("agent_crashes", "Crashes of the target", &self.crashes);
        counter(
            "agent_links_refused",
            "Links refused, wrong cluster key among them",
            &self.links_refused,
        );
        counter(
            "agent_stalls",
            "Times at which the agent itself stood still for long",
            &self.stalls,
        );
        registry.register(
            "agent_attempts_refused",
            "Attempts refused, by reason",
            self.refused.clone(),
        );
        registry.register(
            "agent_attempts_ended",
            "Attempts ended, by how",
            self.ended.clone(),
        );
        registry.register(
            "agent_answer_bytes",
            "Bytes of answers that came from the target",
            self.answer_bytes.clone(),
        );
        let mut gauge = |name: &str, help: &str, gauge: &Gauge| {
            registry.register(name, help, gauge.clone());
        };
        gauge("agent_attempts_running", "Attempts that run", &self.running);
        gauge(
            "agent_held_bytes",
            "Bytes of answers held",
            &self.held_bytes,
        );
        gauge(
            "agent_attempts_remembered",
            "Attempts remembered as barred or forgotten",
            &self.remembered,
        );
        gauge("agent_links", "Links that are up", &self.links);
        gauge(
            "agent_target_healthy",
            "1 while the target answers",
            &self.healthy,
        );
    }

    pub fn attempt_accepted(&self) {
        self.accepted.inc();
    }

    pub fn refused(&self, refusal: Refusal) {
        let reason = refusal.name().to_owned();
        self.refused.get_or_create(&Refused { reason }).inc();
    }

    pub fn ended(&self, ending: &Ending) {
        let end = ending.name().to_owned();
        self.ended.get_or_create(&Ended { end }).inc();
    }

    /// Counts a crash and the attempts that it ended.
    pub fn crashed(&self, attempts: usize) {
        self.crashes.inc();
        let end = Ending::new(End::Crashed, "").name().to_owned();
        let ended = self.ended.get_or_create(&Ended { end });
        ended.inc_by(attempts as u64);
    }

    pub fn link_refused(&self) {
        self.links_refused.inc();
    }

    pub fn stalled(&self) {
        self.stalls.inc();
    }

    pub fn received(&self, bytes: usize) {
        self.answer_bytes.inc_by(bytes as u64);
    }
}
