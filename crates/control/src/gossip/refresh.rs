//! Repeating the state of targets and entries that has not changed.

use super::cache_writer::cached_rows;
use super::{Gossip, TARGET_EXPIRY, lock, send, send_all, targets_message};
use member::Presence;
use std::collections::BTreeSet;
use std::time::Instant;
use wire::proto::Presence::Ready;
use wire::proto::frame::Body;
use wire::proto::{Alive, Sighting, Sightings};
use wire::{entrance_to_proto, sighting_to_proto};

/// What has been heard since the last refresh.
#[derive(Default)]
pub(super) struct Heard {
    /// Targets that have checked in here again, unchanged.
    pub(super) from_targets: BTreeSet<String>,
    /// Targets that have checked in at another replica again, unchanged.
    pub(super) from_replicas: BTreeSet<String>,
    /// Targets of whose limits entries have reported here.
    pub(super) limits: BTreeSet<String>,
    /// Entries that have reported here.
    pub(super) entries: BTreeSet<String>,
}

impl Gossip {
    /// Tells entries which targets have checked in again, and other replicas which of
    /// them have done so here.
    pub(super) async fn refresh(&self) {
        let heard = std::mem::take(&mut *lock(&self.shared.heard));
        self.remove_silent();
        self.shared
            .cache
            .write_if_dirty(|| cached_rows(&self.board()));
        let all: BTreeSet<String> = heard
            .from_targets
            .union(&heard.from_replicas)
            .cloned()
            .collect();
        if !all.is_empty() {
            self.refresh_entries(self.rows(&all)).await;
        }
        let entrances = {
            let board = self.board();
            let entries = board.entries().map(|(entry, _)| entry);
            let reported = entries.filter(|entry| heard.entries.contains(&entry.name));
            reported.map(entrance_to_proto).collect()
        };
        let message = Body::Sightings(Sightings {
            targets: self.rows(&heard.from_targets),
            limits: self.limits_of(&heard.limits),
            entrances,
            ..Sightings::default()
        });
        send_all(&self.shared.replica_links.open(), &message).await;
    }

    fn remove_silent(&self) {
        let mut board = self.board();
        let before = board.targets().count();
        board.remove_silent(TARGET_EXPIRY, Instant::now());
        if board.targets().count() < before {
            self.shared.cache.mark_dirty();
        }
        lock(&self.shared.limits).retain(|id| board.target(id).is_some());
    }

    async fn refresh_entries(&self, rows: Vec<Sighting>) {
        // An entry that has missed that a target is leaving must not take the number of
        // that report for one of the target it knows.
        let (ready, leaving): (Vec<&Sighting>, Vec<&Sighting>) =
            rows.iter().partition(|row| row.presence() == Ready);
        let alive = ready.into_iter().map(|row| Alive {
            id: row.id.clone(),
            born: row.born,
            sequence: row.sequence,
        });
        let alive = Body::Sightings(Sightings {
            alive: alive.collect(),
            targets: leaving.into_iter().cloned().collect(),
            ..Sightings::default()
        });
        let rows = targets_message(rows);
        for entry in self.shared.entries.refreshed() {
            let message = if entry.knows_alive { &alive } else { &rows };
            send(&entry.link, message.clone()).await;
        }
    }

    /// Sends a replica to which a link was opened the targets that take no more work. It
    /// may have restored an earlier state of them from its file.
    pub(super) async fn greet_replicas(&self) {
        let leaving = {
            let board = self.board();
            let targets = board.targets().map(|(target, _)| target);
            let leaving = targets.filter(|target| target.presence != Presence::Ready);
            leaving.map(sighting_to_proto).collect()
        };
        let message = targets_message(leaving);
        for link in self.shared.replica_links.take_new() {
            send(&link, message.clone()).await;
        }
    }

    /// The latest reports of these targets.
    pub(super) fn rows(&self, ids: &BTreeSet<String>) -> Vec<Sighting> {
        let now = Instant::now();
        let board = self.board();
        let targets = ids.iter().filter_map(|id| board.report_at(id, now));
        targets.map(|target| sighting_to_proto(&target)).collect()
    }

    /// The reports that are later than those that an entry has.
    pub(super) fn overdue_rows(&self, overdue: &[Alive]) -> Vec<Sighting> {
        let now = Instant::now();
        let board = self.board();
        let later = overdue
            .iter()
            .filter_map(|held| board.report_after(&held.id, (held.born, held.sequence), now));
        later.map(|report| sighting_to_proto(&report)).collect()
    }
}
