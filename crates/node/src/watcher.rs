//! Follows any control replica without a lease.

use crate::proposal::propose;
use crate::watcher_state::{NEAR_REPLICA_TIME, WatcherState};
use member::EntryReport;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use table::Table;
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::AbortOnDropHandle;
use wire::proto::frame::Body;
use wire::proto::{Report, SightingsTaken, command};
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, entrance_to_proto, redial};

/// Decodes a route table from the document that the operator submitted.
pub type DecodeRouteTable = fn(&[u8]) -> Result<Table, cfg::Findings>;

/// Settings of a watcher.
#[derive(Clone, Debug)]
pub struct WatcherSettings {
    /// Current link addresses of some replicas in the settings file.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Interval between reports to each replica.
    pub report_interval: Duration,
    /// Interval at which targets check in.
    pub check_in_interval: Duration,
    /// The cluster key.
    pub key: ClusterKey,
    /// Time-outs and sizes of links.
    pub link: LinkSettings,
    /// Decodes a route table.
    pub decode: DecodeRouteTable,
}

/// Follows all control replicas that are known: holds the newest route table and the
/// reports of targets, and reports where callers reach this entry.
///
/// The state is kept when control is unreachable, and the entry continues to serve with
/// it. Clones share one state; dropping the last one ends the tasks.
#[derive(Clone)]
pub struct Watcher {
    state: Arc<WatcherState>,
    _running: Arc<DropGuard>,
}

impl Watcher {
    /// Starts to follow control on the current runtime.
    #[must_use]
    pub fn spawn(me: Identity, own_report: EntryReport, cfg: WatcherSettings) -> Watcher {
        let state = Arc::new(WatcherState::new(
            own_report,
            cfg.decode,
            cfg.check_in_interval,
        ));
        let stop = CancellationToken::new();
        let following = maintain_links(Arc::clone(&state), me, cfg);
        tokio::spawn(stop.clone().run_until_cancelled_owned(following));
        Watcher {
            state,
            _running: Arc::new(stop.drop_guard()),
        }
    }

    /// The newest route table; `None` until the first one is received.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.state.table()
    }

    /// The state received from control.
    #[must_use]
    pub fn state(&self) -> &WatcherState {
        &self.state
    }

    /// Commits a command, which must be idempotent: it may reach the leader repeatedly.
    /// Returns whether control has confirmed it within the time.
    pub async fn propose(&self, command: command::Body, within: Duration) -> bool {
        propose(&self.state, command, within).await
    }

    /// Tells control whether this entry accepts new callers.
    pub fn set_open(&self, open: bool) {
        self.state.update_own_report(|report| report.open = open);
    }
}

/// Maintains links to the seeds and to all replicas that those name.
async fn maintain_links(state: Arc<WatcherState>, me: Identity, cfg: WatcherSettings) {
    let mut seeds = cfg.seeds.clone();
    let mut named = state.replicas();
    let mut links: BTreeMap<SocketAddr, AbortOnDropHandle<()>> = BTreeMap::new();
    loop {
        let mut wanted = named.borrow_and_update().clone();
        wanted.extend(seeds.borrow_and_update().iter());
        links.retain(|address, _| wanted.contains(address));
        for address in wanted {
            let spawn = || spawn_link(address, &state, &me, &cfg);
            links.entry(address).or_insert_with(spawn);
        }
        let changed = tokio::select! {
            changed = seeds.changed() => changed,
            changed = named.changed() => changed,
        };
        if changed.is_err() {
            // The settings are no longer read: keep the current links.
            std::future::pending::<()>().await;
        }
    }
}

fn spawn_link(
    address: SocketAddr,
    state: &Arc<WatcherState>,
    me: &Identity,
    cfg: &WatcherSettings,
) -> AbortOnDropHandle<()> {
    let (state, interval) = (Arc::clone(state), cfg.report_interval);
    let dialled = redial(
        address,
        me.clone(),
        cfg.key.clone(),
        cfg.link.clone(),
        move |link, rx| serve(link, rx, Arc::clone(&state), interval),
    );
    AbortOnDropHandle::new(tokio::spawn(dialled))
}

async fn serve(
    link: Link,
    mut rx: mpsc::Receiver<Incoming>,
    state: Arc<WatcherState>,
    interval: Duration,
) {
    log::info!(replica = link.peer().name.as_str(); "control replica reached");
    let _open = OpenLink::new(Arc::clone(&state), link.clone());
    let reporting = send_reports(link.clone(), Arc::clone(&state), interval);
    let reporting = AbortOnDropHandle::new(tokio::spawn(reporting));
    while let Some(incoming) = rx.recv().await {
        handle_message(&state, incoming).await;
    }
    drop(reporting);
    log::warn!(replica = link.peer().name.as_str(); "control replica lost");
}

/// Registers a link with the state until dropped, also if its task is aborted.
struct OpenLink {
    state: Arc<WatcherState>,
    link: Link,
}

impl OpenLink {
    fn new(state: Arc<WatcherState>, link: Link) -> OpenLink {
        state.link_opened(&link);
        OpenLink { state, link }
    }
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.state.link_closed(&self.link);
    }
}

async fn handle_message(state: &WatcherState, incoming: Incoming) {
    match incoming.body {
        Body::RouteTable(table) => state.apply_table(&table),
        Body::Evacuations(evacuations) => state.apply_evacuations(evacuations, Instant::now()),
        Body::Quarantine(quarantine) => state.apply_quarantine(quarantine),
        Body::Sightings(sightings) => {
            state.apply_sightings(sightings, Instant::now());
            if incoming.call == 0 {
                return;
            }
            let taken = Body::SightingsTaken(SightingsTaken {});
            if let Err(e) = incoming.link.reply(incoming.call, taken).await {
                log::debug!("cannot answer {}: {e}", incoming.link.peer().name);
            }
        }
        _ => log::debug!("unexpected message from {}", incoming.link.peer().name),
    }
}

/// Sends reports periodically, and at once when the report has changed.
async fn send_reports(link: Link, state: Arc<WatcherState>, interval: Duration) {
    let mut own_report = state.own_report();
    loop {
        let entrance = entrance_to_proto(&state.next_report());
        own_report.mark_unchanged();
        let replica = &link.peer().name;
        let needs_refresh = state.needs_refresh_from(replica, Instant::now());
        let limits = if needs_refresh {
            state.take_unreported_limits(Instant::now())
        } else {
            Vec::new()
        };
        let report = Body::Report(Report {
            entrance: Some(entrance),
            changes_only: !needs_refresh,
            knows_alive: true,
            knows_evacuations: true,
            overdue: state.overdue_targets(replica, Instant::now()),
            replicas_digest: state.replicas_digest(),
            knows_quarantine: true,
            knows_compressed: true,
            quarantine_version: state.quarantine().borrow().version,
            limits: limits.clone(),
        });
        if let Ok(Body::Reported(reported)) = link.call(report, interval).await {
            state.apply_replicas(&reported.replicas);
            state.set_replica_zone(replica, reported.zone);
            state.report_entries(reported.entries, Instant::now());
            state.set_zone_entries(reported.zone_entries);
        } else {
            state.return_unreported_limits(limits);
        }
        let is_source = state.needs_refresh_from(replica, Instant::now());
        if is_source && !needs_refresh {
            // Now that its zone is known, this replica has become the source.
            continue;
        }
        let interval = match state.table() {
            Some(_) => interval,
            None => interval.min(NEAR_REPLICA_TIME),
        };
        // The next report is due in either case.
        let _ = timeout(interval, own_report.changed()).await;
    }
}
