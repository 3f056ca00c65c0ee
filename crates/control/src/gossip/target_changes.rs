//! Changes that targets report.

use super::{CONFIRM_TIMEOUT, Gossip, lock, targets_message};
use futures_util::future::join_all;
use member::{Presence, ReportEffect, TargetReport};
use std::time::Instant;
use tokio::time::timeout;
use wire::{Link, sighting_to_proto};

impl Gossip {
    /// Records a target's check-in. Returns `false` if it must not be acknowledged: that
    /// the target takes no more work is not on the disks of a majority of replicas.
    pub(crate) async fn update_target(&self, target: TargetReport) -> bool {
        let heard = self.board().record_target(target.clone(), Instant::now());
        match heard {
            ReportEffect::Changed => self.record_change(&target),
            ReportEffect::Refreshed => {
                lock(&self.shared.heard)
                    .from_targets
                    .insert(target.id.clone());
            }
            ReportEffect::Stale => {}
        }
        if target.presence != Presence::Ready {
            // Sent again even if nothing changed: that this replica knows the state
            // does not mean that the others have confirmed it.
            return self.disseminate(&target).await;
        }
        // Others need not confirm that a target accepts work.
        if heard == ReportEffect::Changed {
            lock(&self.shared.changed).insert(target.id);
            self.shared.has_changed.notify_one();
        }
        true
    }

    /// Records that a target has left; see [`Gossip::update_target`]. The departure of a
    /// target that is not known here is not acknowledged, so that the target asks a
    /// replica that can inform the others.
    pub(crate) async fn remove_target(&self, id: &str, born: Option<u64>) -> bool {
        let (removed, is_known) = {
            let mut board = self.board();
            let removed = board.record_departure(id, born, Instant::now());
            (removed, board.target(id).is_some())
        };
        let Some(target) = removed else {
            log::info!(
                target_id = id, known = is_known;
                "ignored the departure of an unknown or replaced target"
            );
            return is_known;
        };
        self.record_change(&target);
        self.disseminate(&target).await
    }

    fn record_change(&self, target: &TargetReport) {
        self.shared.cache.mark_dirty();
        log::info!(
            target_id = target.id.as_str(), service = target.service.as_str(),
            address:display = target.address, born = target.started_ms;
            "target reported state {:?}", target.presence
        );
    }

    /// Sends the state of a target to entries and replicas. Returns whether it is on the
    /// disks of a majority of replicas.
    ///
    /// In memory alone it could be lost: all processes may be killed at once, and an earlier
    /// state be restored from their files.
    async fn disseminate(&self, target: &TargetReport) -> bool {
        let update = targets_message(vec![sighting_to_proto(target)]);
        let entries = self.shared.entries.all();
        let replicas = self.shared.replica_links.open();
        let confirm = |link: Link| {
            let update = update.clone();
            async move { link.call(update, CONFIRM_TIMEOUT).await.is_ok() }
        };
        let by_entries = join_all(entries.into_iter().map(confirm));
        let by_replicas = join_all(replicas.into_iter().map(confirm));
        let here = timeout(CONFIRM_TIMEOUT, self.persist_targets());
        let (_, by_replicas, here) = tokio::join!(by_entries, by_replicas, here);
        let here = here.unwrap_or(false);
        let replicas = by_replicas
            .into_iter()
            .filter(|confirmed| *confirmed)
            .count();
        let replicas = replicas + usize::from(here);
        let majority = self.shared.replicas.borrow().majority();
        if replicas < majority {
            log::warn!(
                target_id = target.id.as_str(), replicas = replicas, majority = majority;
                "state of a target not acknowledged: not confirmed by enough processes"
            );
        }
        replicas >= majority
    }
}
