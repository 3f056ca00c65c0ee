//! A running replica.

use crate::gossip::Gossip;
use crate::http;
use crate::init::init_first_voter;
use crate::leader_client::{LeaderClient, ReplicaLinks};
use crate::links::{self, Acceptor};
use crate::listeners::Listeners;
use crate::log_runtime;
use crate::metrics::Metrics;
use crate::peers;
use crate::replica::{Msg, Replica, Start};
use crate::replicas::Replicas;
use crate::settings::Settings;
use crate::target_cache::TargetCache;
use admin::OperatorToken;
use eyre::{Result, WrapErr, eyre};
use ractor::{Actor, ActorRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use store::{Disk, Ops};
use tokio::runtime::Handle;
use tokio::sync::{Mutex, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use wire::{ClusterKey, Identity, LinkSettings};

/// Number of ticks per heartbeat interval. A delay of one tick is harmless.
const TICKS_PER_HEARTBEAT: u32 = 4;
/// Timeout for the actor's answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Pauses before the first and the later attempts to open the data folder; they double in
/// between.
const MIN_OPEN_RETRY_DELAY: Duration = Duration::from_millis(50);
const MAX_OPEN_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Handle to a running replica; cheap to clone.
#[derive(Clone)]
pub struct Control {
    link_address: SocketAddr,
    http_address: SocketAddr,
    replica: ActorRef<Msg>,
    leader_client: LeaderClient,
    gossip: Gossip,
    seeds: watch::Sender<Vec<SocketAddr>>,
    stopped: CancellationToken,
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Control {
    /// Starts a replica on its data folder. A blank folder is formatted, and the
    /// replica then asks the leader to add it to the cluster.
    ///
    /// # Errors
    ///
    /// Fails if the data folder is damaged, or its disk failed or may not be written, or if
    /// a file named in the settings cannot be read. Waits while the folder is in use, or its
    /// disk full or read-only.
    pub async fn start(settings: Settings, listeners: Listeners) -> Result<Control> {
        Control::start_with(settings, listeners, Ops::default()).await
    }

    /// Like [`Control::start`], with the given file operations.
    ///
    /// # Errors
    ///
    /// See [`Control::start`].
    pub async fn start_with(settings: Settings, listeners: Listeners, ops: Ops) -> Result<Control> {
        let key = ClusterKey::from_file(&settings.cluster_key_file)?;
        let link_address = listeners.links.local_addr()?;
        let http_address = listeners.http.address()?;
        let mut settings = settings;
        settings.advertise.get_or_insert(link_address);
        let token = OperatorToken::from_file(&settings.operator_token_file)?;
        let disk_closed = CancellationToken::new();
        let start = open(settings.clone(), ops, disk_closed.clone()).await?;
        let metrics = start.metrics.clone();
        let (table, replicas) = (start.table.subscribe(), start.replicas.subscribe());
        let (evacuations, quarantine) =
            (start.evacuations.subscribe(), start.quarantine.subscribe());
        let disk = start.recovered.identity.disk;
        let (_, identity) = links::replica_identity(disk, &settings.name);
        let stopped = CancellationToken::new();
        let log_runtime = log_runtime::start(stopped.clone())?;
        let spawned = log_runtime.spawn(Actor::spawn(None, Replica, start));
        let (replica, actor) = spawned
            .await?
            .map_err(|e| eyre!("replica can't start: {e}"))?;
        let cfg = LinkSettings {
            heartbeat_interval: settings.timing.link_heartbeat,
            redial_backoff: (
                min_redial_delay(settings.timing.max_redial_delay),
                settings.timing.max_redial_delay,
            ),
            ..LinkSettings::default()
        };
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let leader_client = LeaderClient {
            replica: replica.clone(),
            replica_links: ReplicaLinks::default(),
        };
        let gossip = Gossip::new(
            &settings.zone,
            leader_client.replica_links.clone(),
            replicas.clone(),
            (table, evacuations, quarantine),
            TargetCache::new(&settings.data),
        );
        tasks.spawn(until_stopped(stop.clone(), gossip.clone().run()));
        let seeds = ReplicaLinker {
            settings: &settings,
            identity: identity.clone(),
            key: key.clone(),
            cfg: cfg.clone(),
            leader_client: leader_client.clone(),
            stop: stop.clone(),
        }
        .spawn(&mut tasks, &log_runtime, replicas);
        let acceptor = Acceptor {
            identity,
            key,
            cfg,
            replica: replica.clone(),
            gossip: gossip.clone(),
            links_refused: metrics.links_refused.clone(),
            log_runtime: log_runtime.clone(),
            requests: links::request_limit(),
            stop: stop.clone(),
        };
        tasks.spawn(acceptor.run(listeners.links));
        let registry = metrics.registry();
        let http = http::serve(
            listeners.http,
            token,
            leader_client.clone(),
            metrics,
            registry,
            stop.clone(),
        );
        tasks.spawn(http);
        let tick_interval = settings.timing.heartbeat_interval / TICKS_PER_HEARTBEAT;
        let max_gap = settings.timing.election_timeout;
        let ticks = send_ticks(tick_interval, max_gap, replica.clone());
        tasks.spawn_on(until_stopped(stop.clone(), ticks), &log_runtime);
        tokio::spawn(signal_stopped(
            actor,
            stop.clone(),
            disk_closed,
            stopped.clone(),
        ));
        Ok(Control {
            link_address,
            http_address,
            replica,
            leader_client,
            gossip,
            seeds,
            stopped,
            tasks: Arc::new(Mutex::new(tasks)),
        })
    }

    pub(crate) fn leader_client(&self) -> &LeaderClient {
        &self.leader_client
    }

    pub(crate) fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    pub(crate) fn seeds(&self) -> &watch::Sender<Vec<SocketAddr>> {
        &self.seeds
    }

    /// Returns the address that links are accepted on.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Returns the address of the operators' HTTP server.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// Returns the status of this replica, which need not be the leader.
    ///
    /// # Errors
    ///
    /// Fails if the replica has stopped or does not answer within 2 s.
    pub async fn status(&self) -> Result<serde_json::Value> {
        let (tx, rx) = oneshot::channel();
        self.replica
            .cast(Msg::Status(tx))
            .map_err(|e| eyre!("replica has stopped: {e}"))?;
        let answer = timeout(STATUS_TIMEOUT, rx).await;
        answer
            .wrap_err("replica doesn't answer")?
            .wrap_err("replica has stopped")
    }

    /// Resolves once the replica has stopped, by [`Control::shutdown`] or
    /// because its disk failed.
    pub async fn stopped(&self) {
        self.stopped.cancelled().await;
    }

    /// Stops the replica. Everything that it has acknowledged is already synced.
    pub async fn shutdown(&self) {
        self.replica.stop(None);
        self.stopped.cancelled().await;
        let mut tasks = self.tasks.lock().await;
        while tasks.join_next().await.is_some() {}
    }
}

/// Opens links to the other replicas.
struct ReplicaLinker<'a> {
    settings: &'a Settings,
    identity: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    leader_client: LeaderClient,
    stop: CancellationToken,
}

impl ReplicaLinker<'_> {
    /// Keeps links to the replicas in the settings open and, if replicas discover each
    /// other, to all others. Returns the seeds, which may change.
    fn spawn(
        self,
        tasks: &mut JoinSet<()>,
        log_runtime: &Handle,
        replicas: watch::Receiver<Replicas>,
    ) -> watch::Sender<Vec<SocketAddr>> {
        let ReplicaLinker {
            settings,
            identity,
            key,
            cfg,
            leader_client,
            stop,
        } = self;
        let keep_connected = move |address| {
            let (identity, key) = (identity.clone(), key.clone());
            peers::keep_connected(address, identity, key, cfg.clone(), leader_client.clone())
        };
        for other in settings.replicas.iter().filter(|r| r.name != settings.name) {
            let connected = until_stopped(stop.clone(), keep_connected(other.address));
            tasks.spawn_on(connected, log_runtime);
        }
        let forming = settings.forming.as_ref();
        let seeds = watch::Sender::new(forming.map_or_else(Vec::new, |f| f.seeds.clone()));
        if forming.is_some() {
            let connect =
                move |address| AbortOnDropHandle::new(tokio::spawn(keep_connected(address)));
            let own = settings.advertised();
            let links = peers::keep_all_connected(seeds.subscribe(), replicas, own, connect);
            tasks.spawn_on(until_stopped(stop, links), log_runtime);
        }
        seeds
    }
}

/// Opens the data folder as soon as that is possible. The previous process on it may still
/// be shutting down, and the disk may be full, read-only or slow for any time.
async fn open(settings: Settings, ops: Ops, disk_closed: CancellationToken) -> Result<Start> {
    let mut delay = MIN_OPEN_RETRY_DELAY;
    let mut reported = None;
    loop {
        let (settings, ops) = (settings.clone(), ops.clone());
        let disk_closed = disk_closed.clone();
        let open = move || open_blocking(settings, ops, disk_closed);
        match tokio::task::spawn_blocking(open).await? {
            Err(e) if e.is_temporary() => {
                let reason = e.to_string();
                if reported.as_ref() != Some(&reason) {
                    log::warn!("cannot open the data folder yet: {e}");
                    reported = Some(reason);
                }
            }
            done => {
                let start = done?;
                if reported.is_some() {
                    log::info!("data folder opened after a wait");
                }
                return Ok(start);
            }
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_OPEN_RETRY_DELAY);
    }
}

fn open_blocking(
    settings: Settings,
    ops: Ops,
    disk_closed: CancellationToken,
) -> store::Result<Start> {
    if let Some(forming) = settings.forming.as_ref().filter(|f| f.bootstrap) {
        init_first_voter(&settings, forming, &ops)?;
    }
    match store::identity(&settings.data) {
        Err(e) if e.is_blank() => {
            let identity = store::format(&settings.data, &settings.name, &ops)?;
            let name = &settings.name;
            log::warn!("formatted blank disk of {name} as {:016x}", identity.disk);
        }
        existing => drop(existing?),
    }
    let (disk, recovered) = Disk::open(&settings.data, ops)?;
    if recovered.truncated_bytes > 0 {
        log::warn!(
            "truncated {} bytes of a torn write",
            recovered.truncated_bytes
        );
    }
    Ok(Start {
        settings,
        disk,
        recovered,
        metrics: Metrics::default(),
        table: watch::Sender::default(),
        evacuations: watch::Sender::default(),
        quarantine: watch::Sender::default(),
        replicas: watch::Sender::default(),
        disk_closed: disk_closed.drop_guard(),
    })
}

/// Returns the delay before the first redial of a link; it doubles from there.
fn min_redial_delay(max: Duration) -> Duration {
    LinkSettings::default().redial_backoff.0.min(max)
}

async fn until_stopped(stop: CancellationToken, work: impl Future<Output = ()>) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
}

async fn send_ticks(tick_interval: Duration, max_gap: Duration, replica: ActorRef<Msg>) {
    let mut ticks = interval(tick_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut previous = Instant::now();
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let gap = now.saturating_duration_since(previous);
        previous = now;
        if gap >= max_gap {
            let gap_ms = u64::try_from(gap.as_millis()).unwrap_or(u64::MAX);
            log::warn!(gap_ms; "this process stood still");
        }
        if replica.cast(Msg::Tick).is_err() {
            return;
        }
    }
}

/// Signals `stopped` once the actor has ended and its disk is closed.
///
/// The disk thread may outlive the actor by a write or a snapshot. If the signal
/// came earlier, a process that then removes or copies the data folder, or starts
/// another replica on it, would find files still being created there.
async fn signal_stopped(
    actor: JoinHandle<()>,
    stop: CancellationToken,
    disk_closed: CancellationToken,
    stopped: CancellationToken,
) {
    if let Err(e) = actor.await {
        log::error!("replica actor failed: {e}");
    }
    stop.cancel();
    disk_closed.cancelled().await;
    stopped.cancel();
}
