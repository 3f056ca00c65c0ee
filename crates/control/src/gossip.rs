//! Exchange of the state of targets and entries with entries and other replicas.

mod cache_writer;
mod entry_links;
mod in_force;
mod limits;
mod refresh;
mod target_changes;
mod verdicts;

use self::cache_writer::{CacheWriter, cached_rows};
use self::entry_links::EntryLinks;
use self::refresh::Heard;
use self::verdicts::SettledVerdicts;
use crate::leader_client::ReplicaLinks;
use crate::published_table::PublishedTable;
use crate::replicas::Replicas;
use crate::target_cache::TargetCache;
use member::{EntryReport, ReportEffect, ReportStore, TargetLimits};
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};
use wire::proto::Presence::Ready;
use wire::proto::frame::Body;
use wire::proto::{Evacuations, Quarantine, Report, Reported, Sighting, Sightings, SightingsTaken};
use wire::{Link, entrance_from_proto, sighting_from_proto, sighting_to_proto};

/// Interval between two messages that tell entries and other replicas which targets
/// have checked in again. Targets check in about once a second, so a shorter interval
/// would only repeat the same state.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);
/// Delay of the message that tells entries and other replicas of targets that have begun
/// to accept work.
const CHANGES_DELAY: Duration = Duration::from_millis(20);
/// Time without contact after which targets and entries are forgotten: five
/// consecutive check-ins of a target that were lost or late.
const TARGET_EXPIRY: Duration = Duration::from_secs(7);
/// Time without a report after which callers are no longer sent to an entry: five
/// report intervals.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for entries and replicas to confirm that a target is leaving.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Collects the state of targets and entries, and passes changes on to entries and
/// other replicas. Clones share their state.
#[derive(Clone)]
pub(crate) struct Gossip {
    shared: Arc<Shared>,
}

struct Shared {
    board: Mutex<ReportStore>,
    /// Availability zone of this replica.
    zone: String,
    /// The entries that report to this replica.
    entries: EntryLinks,
    /// What has been heard since the last refresh.
    heard: Mutex<Heard>,
    /// Targets that accept work and whose change has not been passed on yet.
    changed: Mutex<BTreeSet<String>>,
    /// Notified when a target is added to `changed`.
    has_changed: Notify,
    replica_links: ReplicaLinks,
    replicas: watch::Receiver<Replicas>,
    table: watch::Receiver<PublishedTable>,
    evacuations: watch::Receiver<Evacuations>,
    quarantine: watch::Receiver<Quarantine>,
    /// Limits that targets name. Locked after `board`.
    limits: Mutex<TargetLimits>,
    /// The verdicts that entries are told.
    verdicts: Mutex<SettledVerdicts>,
    /// File with the last known targets.
    cache: CacheWriter,
    /// Number of reports from entries so far.
    report_count: watch::Sender<u64>,
}

impl Gossip {
    pub(crate) fn new(
        zone: &str,
        replica_links: ReplicaLinks,
        replicas: watch::Receiver<Replicas>,
        (table, evacuations, quarantine): (
            watch::Receiver<PublishedTable>,
            watch::Receiver<Evacuations>,
            watch::Receiver<Quarantine>,
        ),
        cache: TargetCache,
    ) -> Gossip {
        let mut board = ReportStore::default();
        let now = Instant::now();
        for cached in cache.read().into_iter().filter_map(sighting_from_proto) {
            log::info!(
                target_id = cached.id.as_str(), presence:? = cached.presence;
                "target restored from the cache file"
            );
            board.record_target(cached, now);
        }
        let shared = Shared {
            board: Mutex::new(board),
            zone: zone.to_owned(),
            entries: EntryLinks::default(),
            heard: Mutex::default(),
            changed: Mutex::default(),
            has_changed: Notify::new(),
            replica_links,
            replicas,
            table,
            evacuations,
            quarantine,
            limits: Mutex::default(),
            verdicts: Mutex::default(),
            cache: CacheWriter::new(cache),
            report_count: watch::Sender::new(0),
        };
        Gossip {
            shared: Arc::new(shared),
        }
    }

    /// Sends new route tables and verdicts to entries, and refreshes the state of targets
    /// and entries periodically.
    pub(crate) async fn run(self) {
        tokio::join!(self.pass_on(), self.pass_on_verdicts());
    }

    async fn pass_on(&self) {
        let mut table = self.shared.table.clone();
        let mut evacuations = self.shared.evacuations.clone();
        let mut refresh = interval(REFRESH_INTERVAL);
        refresh.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = refresh.tick() => self.refresh().await,
                () = self.shared.has_changed.notified() => self.pass_on_changes().await,
                () = self.shared.replica_links.opened() => self.greet_replicas().await,
                changed = table.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let newest = table.borrow_and_update().clone();
                    self.send_table(&newest).await;
                }
                changed = evacuations.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let newest = evacuations.borrow_and_update().clone();
                    let links = self.shared.entries.with_evacuations();
                    send_all(&links, &Body::Evacuations(newest)).await;
                }
            }
        }
    }

    /// Sends a new table to the entries to which this replica repeats the state of
    /// targets. The others have it from another replica, or else get it when they next
    /// report an older one.
    async fn send_table(&self, newest: &PublishedTable) {
        for entry in self.shared.entries.refreshed() {
            let table = newest.message(entry.table_form);
            send(&entry.link, Body::RouteTable(table)).await;
        }
    }

    /// Handles the report of an entry. It is sent the newest table and all known targets
    /// once it wants this replica to repeat their state. An entry that stays behind the
    /// newest table is sent it by any replica.
    pub(crate) async fn handle_report(&self, report: Report, call: u64, link: &Link) {
        let newest = self.shared.table.borrow().clone();
        let now = Instant::now();
        let update = self.shared.entries.update(&report, link, &newest, now);
        if update.wants_table {
            let table = newest.message(update.entry.table_form);
            send(link, Body::RouteTable(table)).await;
        }
        let evacuations = self.shared.evacuations.borrow().clone();
        if update.wants_evacuations(&evacuations) {
            send(link, Body::Evacuations(evacuations)).await;
        }
        let verdicts = lock(&self.shared.verdicts).missed_by(&update.entry, Instant::now());
        if let Some(verdicts) = verdicts {
            send(link, Body::Quarantine(verdicts)).await;
        }
        if update.wants_targets {
            let all = Sightings {
                targets: self.all_targets(),
                limits: self.all_limits(),
                ..Sightings::default()
            };
            send(link, Body::Sightings(all)).await;
        }
        self.handle_limits_of_entry(report.limits).await;
        let mut zone_entries = Vec::new();
        if let Some(state) = report.entrance.and_then(entrance_from_proto) {
            if !report.changes_only {
                zone_entries = self.open_entries_in(&state.zone);
            }
            let heard = self.board().record_entry(state.clone(), Instant::now());
            if heard == ReportEffect::Changed {
                log::info!(
                    entry = state.name.as_str(), open = state.open, table = state.table;
                    "state of an entry changed"
                );
            }
            // Each replica hears from the entry itself. One of them passes the report on,
            // for those that the entry does not reach.
            if !report.changes_only {
                lock(&self.shared.heard).entries.insert(state.name);
            }
            self.shared.report_count.send_modify(|count| *count += 1);
        }
        let overdue = self.overdue_rows(&report.overdue);
        if !overdue.is_empty() {
            send(link, targets_message(overdue)).await;
        }
        let unknown = self
            .shared
            .replicas
            .borrow()
            .unless_known(report.replicas_digest);
        let reported = Reported {
            replicas: unknown,
            zone: self.shared.zone.clone(),
            zone_entries,
            entries: self.entry_count(),
        };
        reply(link, call, Body::Reported(reported)).await;
    }

    fn all_targets(&self) -> Vec<Sighting> {
        let ids: BTreeSet<String> = {
            let board = self.board();
            board
                .targets()
                .map(|(target, _)| target.id.clone())
                .collect()
        };
        self.rows(&ids)
    }

    /// Merges the state that another replica or an agent sent, and forwards changes to
    /// entries. That a target accepts work is forwarded only to the entries to which this
    /// replica repeats the state of targets; the others learn it from the replica at which
    /// the target has checked in.
    ///
    /// That a target takes no more work is confirmed once it is on the disk of this replica.
    pub(crate) async fn handle_sightings(&self, received: Sightings, call: u64, link: &Link) {
        let now = Instant::now();
        let names_leaving = received.targets.iter().any(|row| row.presence() != Ready);
        let mut changed = Vec::new();
        for target in received.targets.into_iter().filter_map(sighting_from_proto) {
            match self.board().record_target(target.clone(), now) {
                ReportEffect::Changed => {
                    self.shared.cache.mark_dirty();
                    changed.push(sighting_to_proto(&target));
                }
                ReportEffect::Refreshed => {
                    lock(&self.shared.heard).from_replicas.insert(target.id);
                }
                ReportEffect::Stale => {}
            }
        }
        for entry in received
            .entrances
            .into_iter()
            .filter_map(entrance_from_proto)
        {
            self.board().record_entry(entry, now);
        }
        let (ready, leaving): (Vec<Sighting>, Vec<Sighting>) = changed
            .into_iter()
            .partition(|target| target.presence() == Ready);
        if !leaving.is_empty() {
            send_all(&self.shared.entries.all(), &targets_message(leaving)).await;
        }
        if !ready.is_empty() {
            let message = targets_message(ready);
            for entry in self.shared.entries.refreshed() {
                send(&entry.link, message.clone()).await;
            }
        }
        self.handle_limits_of_replica(received.limits).await;
        if !received.speeds.is_empty() {
            // Speeds are not passed on to other replicas: an agent reports to each
            // replica that it reaches.
            let speeds = Body::Sightings(Sightings {
                speeds: received.speeds,
                ..Sightings::default()
            });
            send_all(&self.shared.entries.all(), &speeds).await;
        }
        if !names_leaving {
            return reply(link, call, Body::SightingsTaken(SightingsTaken {})).await;
        }
        // A slow disk must not delay the messages that follow.
        let (gossip, link) = (self.clone(), link.clone());
        tokio::spawn(async move {
            if call != 0 && gossip.persist_targets().await {
                reply(&link, call, Body::SightingsTaken(SightingsTaken {})).await;
            }
        });
    }

    /// Waits until the targets are on the disk of this replica. Returns whether they are.
    async fn persist_targets(&self) -> bool {
        let rows = || cached_rows(&self.board());
        self.shared.cache.persist(rows).await
    }

    /// Sends entries and other replicas the targets that have begun to accept work. When
    /// hundreds of targets start together, each message names many of them.
    async fn pass_on_changes(&self) {
        sleep(CHANGES_DELAY).await;
        let changed = std::mem::take(&mut *lock(&self.shared.changed));
        let message = targets_message(self.rows(&changed));
        send_all(&self.shared.entries.all(), &message).await;
        send_all(&self.shared.replica_links.open(), &message).await;
    }

    /// Number of entries that have been heard from lately.
    fn entry_count(&self) -> u32 {
        u32::try_from(self.board().entries().count()).unwrap_or(u32::MAX)
    }

    /// Returns the entries that accept new callers.
    pub(crate) fn open_entries(&self) -> Vec<EntryReport> {
        let now = Instant::now();
        let board = self.board();
        let live = board.entries().filter(|(_, heard)| is_live(*heard, now));
        let open = live.filter(|(entry, _)| entry.open);
        open.map(|(entry, _)| entry.clone()).collect()
    }

    fn open_entries_in(&self, zone: &str) -> Vec<String> {
        let open = self.open_entries().into_iter();
        open.filter(|entry| entry.zone == zone)
            .map(|entry| entry.name)
            .collect()
    }

    fn board(&self) -> MutexGuard<'_, ReportStore> {
        lock(&self.shared.board)
    }
}

fn is_live(heard: Instant, now: Instant) -> bool {
    now.saturating_duration_since(heard) < ENTRY_TIMEOUT
}

fn targets_message(targets: Vec<Sighting>) -> Body {
    Body::Sightings(Sightings {
        targets,
        ..Sightings::default()
    })
}

async fn send_all(links: &[Link], body: &Body) {
    for link in links {
        send(link, body.clone()).await;
    }
}

async fn send(link: &Link, body: Body) {
    if let Err(e) = link.send(body).await {
        log::debug!("cannot send to {}: {e}", link.peer().name);
    }
}

async fn reply(link: &Link, call: u64, body: Body) {
    if call == 0 {
        return;
    }
    if let Err(e) = link.reply(call, body).await {
        log::debug!("cannot answer {}: {e}", link.peer().name);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Code that holds these locks cannot leave the data inconsistent, so poisoning is
    // ignored.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
