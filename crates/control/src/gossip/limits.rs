//! Passing on the limits that targets name to entries.

use super::{Gossip, lock, send, send_all};
use member::LimitEffect;
use std::collections::BTreeSet;
use std::time::Instant;
use wire::proto::frame::Body;
use wire::proto::{Sightings, TargetLimit};
use wire::{target_limit_from_proto, target_limit_to_proto};

impl Gossip {
    /// Records limits that an entry has met, and passes changes on.
    pub(super) async fn handle_limits_of_entry(&self, limits: Vec<TargetLimit>) {
        let ids = limits.iter().map(|limit| limit.id.clone());
        lock(&self.shared.heard).limits.extend(ids);
        if let Some(message) = self.record_limits(limits) {
            send_all(&self.shared.replica_links.open(), &message).await;
            self.send_to_refreshed_entries(&message).await;
        }
    }

    /// Records limits that another replica has passed on.
    pub(super) async fn handle_limits_of_replica(&self, limits: Vec<TargetLimit>) {
        if let Some(message) = self.record_limits(limits) {
            self.send_to_refreshed_entries(&message).await;
        }
    }

    /// All limits that are known.
    pub(super) fn all_limits(&self) -> Vec<TargetLimit> {
        let now = Instant::now();
        let limits = lock(&self.shared.limits);
        let all = limits.iter();
        all.map(|(limit, at)| target_limit_to_proto(limit, at, now))
            .collect()
    }

    /// The limits of these targets.
    pub(super) fn limits_of(&self, ids: &BTreeSet<String>) -> Vec<TargetLimit> {
        let now = Instant::now();
        let limits = lock(&self.shared.limits);
        let known = ids.iter().filter_map(|id| limits.get(id));
        known
            .map(|(limit, at)| target_limit_to_proto(limit, at, now))
            .collect()
    }

    /// Records limits; returns the message about those that have changed, if any have.
    fn record_limits(&self, received: Vec<TargetLimit>) -> Option<Body> {
        let now = Instant::now();
        let mut limits = lock(&self.shared.limits);
        let changed = received.into_iter().filter(|received| {
            let (limit, at) = target_limit_from_proto(received.clone(), now);
            limits.record(limit, at) == LimitEffect::Changed
        });
        let changed: Vec<TargetLimit> = changed.collect();
        if changed.is_empty() {
            return None;
        }
        Some(Body::Sightings(Sightings {
            limits: changed,
            ..Sightings::default()
        }))
    }

    async fn send_to_refreshed_entries(&self, message: &Body) {
        for entry in self.shared.entries.refreshed() {
            send(&entry.link, message.clone()).await;
        }
    }
}
