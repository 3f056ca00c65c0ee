//! State of a watcher.

mod limits;
mod links;

use self::links::LinkedReplica;
use crate::entry_count::EntryCount;
use crate::watcher::DecodeRouteTable;
use member::{
    AliveEffect, EntryReport, EvacuatedZones, Evacuation, LimitEffect, OverdueTargets, Presence,
    ReportEffect, ReportStore, TableDigest, TargetLimits, TargetSpeed,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use table::Table;
use tokio::sync::watch;
use wire::proto::{Alive, Evacuations, Quarantine, RouteTable, Sightings};
use wire::{
    addresses_digest, sighting_from_proto, target_limit_from_proto, target_speed_from_proto,
};

/// Time after the start in which a replica in the zone of this entry can answer a first
/// report.
pub(crate) const NEAR_REPLICA_TIME: Duration = Duration::from_millis(250);
/// How long the report of a silent target is kept. Such a target gets no work by then,
/// and no other node needs its last report from here.
const SILENT_TARGET_RETENTION: Duration = Duration::from_mins(1);

/// State that a watcher receives from control.
pub struct WatcherState {
    decode: DecodeRouteTable,
    table: Mutex<Option<HeldTable>>,
    reports: Mutex<ReportStore>,
    own_report: watch::Sender<EntryReport>,
    replicas: watch::Sender<BTreeSet<SocketAddr>>,
    /// Replicas to which there is a link.
    linked: Mutex<BTreeMap<String, LinkedReplica>>,
    /// Entries in the zone of this one, as reported by control.
    zone_entries: Mutex<BTreeSet<String>>,
    /// Targets for whose reports control is asked. Locked before `reports`.
    overdue: Mutex<OverdueTargets>,
    /// Highest number of entries that control has reported.
    entries: EntryCount,
    evacuations: Mutex<EvacuatedZones>,
    /// Limits that targets name. Locked after `reports`.
    limits: Mutex<TargetLimits>,
    /// Targets of whose limits this entry has still to tell control.
    unreported_limits: Mutex<BTreeSet<String>>,
    /// Verdicts on requests under which targets crash.
    quarantine: watch::Sender<Arc<Quarantine>>,
    started: Instant,
    /// Number of changes of the table or the reports.
    changed: watch::Sender<u64>,
}

/// The route table in use.
struct HeldTable {
    table: Arc<Table>,
    digest: TableDigest,
}

impl HeldTable {
    /// Whether a received table replaces this one. One of the same number and with other
    /// content does: a replica sends it only to an entry whose content it knows to be
    /// another, as what a replica of an earlier version has sent may not be committed.
    fn is_replaced_by(&self, received: &RouteTable, digest: TableDigest) -> bool {
        let number = self.table.number();
        received.number > number || (received.number == number && digest != self.digest)
    }
}

/// A target that is known from its reports.
#[derive(Clone, Debug, PartialEq)]
pub struct KnownTarget {
    /// The latest report of the target.
    pub report: member::TargetReport,
    /// Processing time as a multiple of the usual one, as reported by the agent on the
    /// target's host.
    pub slowdown: f64,
    /// When the report was received here.
    pub received_at: Instant,
    /// Until when the target is cold, if it is.
    pub cold_until: Option<Instant>,
    /// Requests a second that the target takes from all entries together, if it names a
    /// limit.
    pub limit: Option<f64>,
    /// Whether the target's zone is evacuated.
    pub evacuation: Evacuation,
}

impl WatcherState {
    pub(crate) fn new(
        own_report: EntryReport,
        decode: DecodeRouteTable,
        check_in_interval: Duration,
    ) -> WatcherState {
        WatcherState {
            decode,
            table: Mutex::default(),
            reports: Mutex::default(),
            own_report: watch::Sender::new(own_report),
            replicas: watch::Sender::default(),
            linked: Mutex::default(),
            zone_entries: Mutex::default(),
            overdue: Mutex::new(OverdueTargets::new(check_in_interval)),
            entries: EntryCount::default(),
            evacuations: Mutex::default(),
            limits: Mutex::default(),
            unreported_limits: Mutex::default(),
            quarantine: watch::Sender::default(),
            started: Instant::now(),
            changed: watch::Sender::new(0),
        }
    }

    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        lock(&self.table)
            .as_ref()
            .map(|held| Arc::clone(&held.table))
    }

    /// Digest of the route table in use; `None` until there is one.
    #[must_use]
    pub fn table_digest(&self) -> Option<TableDigest> {
        lock(&self.table).as_ref().map(|held| held.digest)
    }

    /// Subscribes to a counter of the changes of the table and the targets.
    #[must_use]
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the targets that have not left.
    #[must_use]
    pub fn targets(&self, now: Instant) -> Vec<KnownTarget> {
        let reports = lock(&self.reports);
        let present = reports
            .targets()
            .filter(|(report, _)| report.presence != Presence::Gone);
        let evacuations = lock(&self.evacuations);
        let limits = lock(&self.limits);
        let known = present.map(|(report, received_at)| KnownTarget {
            report: report.clone(),
            slowdown: reports.slowdown(report.address, now),
            received_at,
            cold_until: reports.cold_until(&report.id).filter(|until| now < *until),
            limit: limits.of_target(&report.id, report.started_ms),
            evacuation: evacuations.of_zone(&report.zone),
        });
        known.collect()
    }

    /// Applies a route table if its number is higher than that of the current one, or the
    /// same with other content.
    pub(crate) fn apply_table(&self, received: &RouteTable) {
        let digest = match received.digest {
            0 => TableDigest::of(&received.source),
            digest => TableDigest(digest),
        };
        let is_replacement = |held: Option<&HeldTable>| {
            held.map_or(received.number > 0, |held| {
                held.is_replaced_by(received, digest)
            })
        };
        if !is_replacement(lock(&self.table).as_ref()) {
            return;
        }
        let source = match &received.compressed {
            Some(compressed) => match wire::decompress(compressed) {
                Ok(source) => source,
                Err(e) => {
                    log::error!(table = received.number; "cannot read the route table: {e}");
                    return;
                }
            },
            None => received.source.clone(),
        };
        let table = match (self.decode)(&source) {
            Ok(table) => Arc::new(table),
            Err(findings) => {
                // Unexpected: control validated the table with the same function.
                log::error!(table = received.number; "cannot decode the route table: {findings}");
                return;
            }
        };
        {
            let mut current = lock(&self.table);
            if !is_replacement(current.as_ref()) {
                return;
            }
            *current = Some(HeldTable { table, digest });
        }
        log::info!(
            table = received.number, digest:display = digest;
            "using a new route table"
        );
        self.update_own_report(|report| {
            // Another link may have replaced it since.
            if let Some(held) = &*lock(&self.table) {
                report.table = held.table.number();
                report.table_digest = Some(held.digest);
            }
        });
        self.notify_changed();
    }

    pub(crate) fn apply_sightings(&self, sightings: Sightings, now: Instant) {
        let (mut changed, mut missed) = (false, Vec::new());
        let mut reports = lock(&self.reports);
        for report in sightings
            .targets
            .into_iter()
            .filter_map(sighting_from_proto)
        {
            let (id, presence) = (report.id.clone(), report.presence);
            let effect = reports.record_target(report, now);
            if effect == ReportEffect::Changed {
                log::info!(target_id = id.as_str(); "target is {presence:?}");
            }
            changed |= effect != ReportEffect::Stale;
        }
        for alive in &sightings.alive {
            match reports.record_alive(&alive.id, alive.born, alive.sequence, now) {
                AliveEffect::Refreshed => changed = true,
                AliveEffect::Stale => {}
                AliveEffect::Missed => missed.push(alive.id.as_str()),
            }
        }
        for speed in sightings.speeds.iter().filter_map(target_speed_from_proto) {
            changed |= apply_speed(&mut reports, speed, now);
        }
        reports.remove_silent(SILENT_TARGET_RETENTION, now);
        let mut limits = lock(&self.limits);
        for (limit, at) in sightings
            .limits
            .into_iter()
            .map(|limit| target_limit_from_proto(limit, now))
        {
            changed |= limits.record(limit, at) == LimitEffect::Changed;
        }
        limits.retain(|id| reports.target(id).is_some());
        drop((reports, limits));
        for id in missed {
            lock(&self.overdue).record_missed(id);
        }
        if changed {
            self.notify_changed();
        }
    }

    pub(crate) fn apply_replicas(&self, named: &[String]) {
        let named: BTreeSet<SocketAddr> = named.iter().filter_map(|a| a.parse().ok()).collect();
        if named.is_empty() {
            return;
        }
        self.replicas.send_if_modified(|known| {
            let changed = *known != named;
            *known = named;
            changed
        });
    }

    /// Returns the entries that accept callers in the zone of this one, and this one;
    /// empty until control has reported them.
    #[must_use]
    pub fn zone_entries(&self) -> BTreeSet<String> {
        let mut entries = lock(&self.zone_entries).clone();
        if !entries.is_empty() {
            entries.insert(self.own_report.borrow().name.clone());
        }
        entries
    }

    /// Records the entries in the zone of this one; none if a replica reports none.
    pub(crate) fn set_zone_entries(&self, entries: Vec<String>) {
        if entries.is_empty() {
            return;
        }
        let entries: BTreeSet<String> = entries.into_iter().collect();
        let mut known = lock(&self.zone_entries);
        if *known != entries {
            *known = entries;
            drop(known);
            self.notify_changed();
        }
    }

    /// Digest of the replicas that are known.
    pub(crate) fn replicas_digest(&self) -> u64 {
        addresses_digest(&self.replicas.borrow())
    }

    /// The targets for whose reports a replica is to be asked.
    pub(crate) fn overdue_targets(&self, replica: &str, now: Instant) -> Vec<Alive> {
        let is_asked = {
            let linked = lock(&self.linked);
            let position = linked.keys().position(|name| name == replica);
            let elapsed = now.saturating_duration_since(self.started);
            position.is_some_and(|n| OverdueTargets::is_asked(n, linked.len(), elapsed))
        };
        if !is_asked {
            return Vec::new();
        }
        let named = lock(&self.overdue).next(&lock(&self.reports), now);
        let named = named.into_iter().map(|report| Alive {
            id: report.id,
            born: report.started_ms,
            sequence: report.sequence,
        });
        named.collect()
    }

    /// Applies evacuations if they are newer than those in force.
    pub(crate) fn apply_evacuations(&self, received: Evacuations, now: Instant) {
        let number = received.number;
        let zones = received.zones.join(",");
        if !lock(&self.evacuations).replace(number, received.zones, now) {
            return;
        }
        log::info!(number = number, zones = zones.as_str(); "evacuations in force");
        self.update_own_report(|report| report.evacuations = report.evacuations.max(number));
        self.notify_changed();
    }

    /// Applies verdicts on requests under which targets crash if they are newer than those
    /// in force.
    pub(crate) fn apply_quarantine(&self, received: Quarantine) {
        self.quarantine.send_if_modified(|known| {
            let is_newer = received.version > known.version;
            if is_newer {
                log::info!(
                    version = received.version, suspects = received.suspects.len(),
                    convicted = received.convicted.len();
                    "verdicts on requests in force"
                );
                *known = Arc::new(received);
            }
            is_newer
        });
    }

    /// The verdicts on requests under which targets crash.
    #[must_use]
    pub fn quarantine(&self) -> watch::Receiver<Arc<Quarantine>> {
        self.quarantine.subscribe()
    }

    /// Records how many entries a replica has heard from.
    pub(crate) fn report_entries(&self, entries: u32, now: Instant) {
        self.entries.record(entries, now);
    }

    /// Number of entries, as far as control has told; `None` until it is known.
    #[must_use]
    pub fn entries(&self, now: Instant) -> Option<u32> {
        self.entries.current(now)
    }

    pub(crate) fn replicas(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.replicas.subscribe()
    }

    pub(crate) fn own_report(&self) -> watch::Receiver<EntryReport> {
        self.own_report.subscribe()
    }

    /// Changes the report of this entry, which is then sent at once.
    pub(crate) fn update_own_report(&self, change: impl FnOnce(&mut EntryReport)) {
        self.own_report.send_modify(change);
    }

    /// Returns the report of this entry with a new sequence number.
    pub(crate) fn next_report(&self) -> EntryReport {
        let mut numbered = None;
        self.own_report.send_if_modified(|report| {
            report.sequence += 1;
            numbered = Some(report.clone());
            false
        });
        numbered.unwrap_or_else(|| self.own_report.borrow().clone())
    }

    fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

/// Records the speed of a target. Returns whether its slowdown changed.
fn apply_speed(reports: &mut ReportStore, speed: TargetSpeed, now: Instant) -> bool {
    let before = reports.slowdown(speed.address, now);
    reports.record_speed(speed, now);
    let slowdown = reports.slowdown(speed.address, now);
    let changed = (slowdown - before).abs() > f64::EPSILON;
    if changed {
        log::info!(
            address:display = speed.address, before = before, slowdown = slowdown;
            "speed of a target changed"
        );
    }
    changed
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    // Changes under these locks cannot panic midway.
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
