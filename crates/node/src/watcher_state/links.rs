//! Links of a watcher to replicas.

use super::{NEAR_REPLICA_TIME, WatcherState, lock};
use member::refresh_source;
use std::time::Instant;
use wire::Link;

/// A replica to which there is a link.
pub(super) struct LinkedReplica {
    link: Link,
    /// The zone that it has reported.
    zone: Option<String>,
}

impl WatcherState {
    /// Records that there is a link to a replica, whose zone may not be known yet.
    pub(crate) fn link_opened(&self, link: &Link) {
        let mut linked = lock(&self.linked);
        let known = linked.remove(&link.peer().name);
        let replica = LinkedReplica {
            link: link.clone(),
            zone: known.and_then(|known| known.zone),
        };
        linked.insert(link.peer().name.clone(), replica);
    }

    /// The links to replicas, by the names of the replicas.
    pub(crate) fn links(&self) -> Vec<Link> {
        let linked = lock(&self.linked);
        linked
            .values()
            .map(|replica| replica.link.clone())
            .collect()
    }

    /// Forgets a link, unless it was replaced by another one to the same replica.
    pub(crate) fn link_closed(&self, link: &Link) {
        let mut linked = lock(&self.linked);
        let name = &link.peer().name;
        if linked
            .get(name)
            .is_some_and(|known| known.link.is_same(link))
        {
            linked.remove(name);
        }
    }

    /// Records the zone that a replica has reported; empty if it reports none.
    pub(crate) fn set_replica_zone(&self, replica: &str, zone: String) {
        if let Some(known) = lock(&self.linked).get_mut(replica) {
            known.zone = Some(zone).filter(|zone| !zone.is_empty());
        }
    }

    /// Whether a replica is to repeat the state of targets that has not changed.
    pub(crate) fn needs_refresh_from(&self, replica: &str, now: Instant) -> bool {
        let linked = lock(&self.linked);
        let own = self.own_report.borrow();
        let replicas = linked
            .iter()
            .map(|(name, known)| (name.as_str(), known.zone.as_deref()));
        let is_source = refresh_source(&own.name, &own.zone, replicas) == Some(replica);
        // At the start a replica in another zone is not asked for everything until one in
        // the same zone has had the time to answer.
        let zone = linked.get(replica).and_then(|known| known.zone.as_ref());
        let is_near = zone == Some(&own.zone);
        let elapsed = now.saturating_duration_since(self.started);
        is_source && (is_near || elapsed >= NEAR_REPLICA_TIME)
    }
}
