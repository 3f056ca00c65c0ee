//! What a new cluster waits for.

use super::ReplicaState;
use std::time::{Duration, Instant};

/// Interval between two log lines on what a new cluster waits for. A first start without
/// faults takes less and logs none.
pub(super) const LOG_INTERVAL: Duration = Duration::from_secs(5);

impl ReplicaState {
    /// Returns what a new cluster waits for until it accepts commands, as far as this
    /// replica knows; `None` if it waits for nothing.
    pub(super) fn waits_for(&self, now: Instant) -> Option<String> {
        let forming = self.settings.forming.as_ref();
        let desired = forming.filter(|_| self.node.is_forming())?.voters;
        let members = self.node.members();
        if self.node.is_leader() {
            let voters = members.voters.len();
            let waits = !self.node.accepts_commands(now);
            return waits.then(|| format!("further replicas: {voters} of {desired} have joined"));
        }
        if self.node.leader().is_some() {
            return None;
        }
        if !members.voters.contains_key(&self.node.id()) {
            return Some("a leader that adds this replica".to_owned());
        }
        let others = members
            .voters
            .iter()
            .filter(|(id, _)| **id != self.node.id());
        let missing = others.filter(|(id, _)| !self.peers.is_connected(**id));
        let missing: Vec<&str> = missing.map(|(_, peer)| peer.address.as_str()).collect();
        if missing.is_empty() {
            return Some("the election of a leader".to_owned());
        }
        Some(format!(
            "a majority of the first voters; not connected: {}",
            missing.join(", ")
        ))
    }

    /// Logs what a new cluster waits for.
    pub(super) fn report_waiting(&mut self, now: Instant) {
        if now < self.report_waiting_at {
            return;
        }
        self.report_waiting_at = now + LOG_INTERVAL;
        if let Some(awaited) = self.waits_for(now) {
            log::warn!("the cluster is not formed yet, waiting for {awaited}");
        }
    }
}
