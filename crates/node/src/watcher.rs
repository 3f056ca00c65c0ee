//! Follows any control replica, without a lease.

use crate::watched::Watched;
use member::Entrance;
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
use wire::proto::{Report, SightingsTaken};
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, entrance_to_proto, redial};

/// Reads a route table as its operator wrote it.
pub type Decode = fn(&[u8]) -> Result<Table, cfg::Findings>;

/// Settings of a watcher.
#[derive(Clone, Debug)]
pub struct WatcherSettings {
    /// Links of a few replicas, as the settings file names them now.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Time between two reports to each replica.
    pub report: Duration,
    /// The cluster key.
    pub key: ClusterKey,
    /// Times of links.
    pub link: LinkSettings,
    /// Reads a route table.
    pub decode: Decode,
}

/// Follows every control replica that can be found: it holds the newest route
/// table and the board, and reports where callers reach this entry.
///
/// What it holds stays when control is lost, and the entry serves on with it.
/// Clones share one state, and the last one to go ends the tasks.
#[derive(Clone)]
pub struct Watcher {
    watched: Arc<Watched>,
    _running: Arc<DropGuard>,
}

impl Watcher {
    /// Begins to follow control on the runtime that this is called on.
    #[must_use]
    pub fn spawn(me: Identity, here: Entrance, cfg: WatcherSettings) -> Watcher {
        let watched = Arc::new(Watched::new(here, cfg.decode));
        let stop = CancellationToken::new();
        let following = follow(Arc::clone(&watched), me, cfg);
        tokio::spawn(stop.clone().run_until_cancelled_owned(following));
        Watcher {
            watched,
            _running: Arc::new(stop.drop_guard()),
        }
    }

    /// The newest route table; none before the first one came.
    #[must_use]
    pub fn table(&self) -> Option<Arc<Table>> {
        self.watched.table()
    }

    /// What targets and entries told.
    #[must_use]
    pub fn watched(&self) -> &Watched {
        &self.watched
    }

    /// Tells control whether this entry takes new callers.
    pub fn set_open(&self, open: bool) {
        self.watched.tell(|here| here.open = open);
    }
}

/// Keeps links to the seeds and to all replicas that those name.
async fn follow(watched: Arc<Watched>, me: Identity, cfg: WatcherSettings) {
    let mut seeds = cfg.seeds.clone();
    let mut named = watched.replicas();
    let mut kept: BTreeMap<SocketAddr, AbortOnDropHandle<()>> = BTreeMap::new();
    loop {
        let mut wanted = named.borrow_and_update().clone();
        wanted.extend(seeds.borrow_and_update().iter());
        kept.retain(|address, _| wanted.contains(address));
        for address in wanted {
            let keep = || keep(address, &watched, &me, &cfg);
            kept.entry(address).or_insert_with(keep);
        }
        let changed = tokio::select! {
            changed = seeds.changed() => changed,
            changed = named.changed() => changed,
        };
        if changed.is_err() {
            // Settings are no longer read: what is known stays.
            std::future::pending::<()>().await;
        }
    }
}

fn keep(
    address: SocketAddr,
    watched: &Arc<Watched>,
    me: &Identity,
    cfg: &WatcherSettings,
) -> AbortOnDropHandle<()> {
    let (watched, report) = (Arc::clone(watched), cfg.report);
    let dialled = redial(
        address,
        me.clone(),
        cfg.key.clone(),
        cfg.link.clone(),
        move |link, rx| serve(link, rx, Arc::clone(&watched), report),
    );
    AbortOnDropHandle::new(tokio::spawn(dialled))
}

async fn serve(
    link: Link,
    mut rx: mpsc::Receiver<Incoming>,
    watched: Arc<Watched>,
    every: Duration,
) {
    log::info!(replica = link.peer().name.as_str(); "control replica reached");
    let reporting = report(link.clone(), Arc::clone(&watched), every);
    let reporting = AbortOnDropHandle::new(tokio::spawn(reporting));
    while let Some(incoming) = rx.recv().await {
        take(&watched, incoming).await;
    }
    drop(reporting);
    log::warn!(replica = link.peer().name.as_str(); "control replica lost");
}

async fn take(watched: &Watched, incoming: Incoming) {
    match incoming.body {
        Body::RouteTable(table) => watched.take_table(&table),
        Body::Sightings(told) => {
            watched.take_sightings(told, Instant::now());
            if incoming.call == 0 {
                return;
            }
            let taken = Body::SightingsTaken(SightingsTaken {});
            if let Err(e) = incoming.link.reply(incoming.call, taken).await {
                log::debug!("answer to {} is lost: {e}", incoming.link.peer().name);
            }
        }
        _ => log::debug!("unexpected message from {}", incoming.link.peer().name),
    }
}

/// Reports in turn, and at once when something changed.
async fn report(link: Link, watched: Arc<Watched>, every: Duration) {
    let mut here = watched.here();
    loop {
        let entrance = entrance_to_proto(&watched.next_word());
        here.mark_unchanged();
        let report = Body::Report(Report {
            entrance: Some(entrance),
        });
        if let Ok(Body::Reported(reported)) = link.call(report, every).await {
            watched.take_replicas(&reported.replicas);
        }
        // Either outcome means that the next report is due.
        let _ = timeout(every, here.changed()).await;
    }
}
