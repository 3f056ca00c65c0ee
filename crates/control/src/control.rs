//! One replica, running.

use crate::asker::{Asker, Directory};
use crate::http;
use crate::hub::Hub;
use crate::init;
use crate::links::{self, Acceptor};
use crate::listeners::Listeners;
use crate::metrics::Metrics;
use crate::peers;
use crate::replica::{Msg, Replica, Start};
use crate::settings::Settings;
use crate::target_cache::TargetCache;
use admin::OperatorToken;
use eyre::{Result, WrapErr, eyre};
use ractor::{Actor, ActorRef};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use store::{Disk, Ops};
use tokio::sync::{Mutex, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;
use wire::{ClusterKey, LinkSettings};

/// Ticks in a heartbeat time; a tick late by this much is of no matter.
const TICKS_IN_HEARTBEAT: u32 = 4;
/// Longest wait for the actor's answer.
const STATUS_WITHIN: Duration = Duration::from_secs(2);
/// Longest wait for another process to let go of the data folder.
const LOCK_WITHIN: Duration = Duration::from_secs(5);

/// One replica, running; cheap to clone.
#[derive(Clone)]
pub struct Control {
    link_address: SocketAddr,
    http_address: SocketAddr,
    replica: ActorRef<Msg>,
    asker: Asker,
    hub: Hub,
    seeds: watch::Sender<Vec<SocketAddr>>,
    ended: CancellationToken,
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Control {
    /// Starts a replica on its data folder; a blank one is formatted and the
    /// replica asks the others to take it in.
    ///
    /// # Errors
    ///
    /// The data folder is damaged, in use or can't be written, or a file of
    /// the settings can't be read.
    pub async fn start(settings: Settings, listeners: Listeners) -> Result<Control> {
        Control::start_with(settings, listeners, Ops::default()).await
    }

    /// As [`Control::start`], with other file operations.
    ///
    /// # Errors
    ///
    /// As [`Control::start`].
    pub async fn start_with(settings: Settings, listeners: Listeners, ops: Ops) -> Result<Control> {
        let key = ClusterKey::from_file(&settings.cluster_key_file)?;
        let link_address = listeners.links.local_addr()?;
        let http_address = listeners.http.local_addr()?;
        let mut settings = settings;
        settings.advertise.get_or_insert(link_address);
        let token = OperatorToken::from_file(&settings.operator_token_file)?;
        let disk_closed = CancellationToken::new();
        found(&settings)?;
        let start = open(settings.clone(), ops, disk_closed.clone()).await?;
        let metrics = start.metrics.clone();
        let (table, replicas) = (start.table.subscribe(), start.replicas.subscribe());
        let disk = start.recovered.identity.disk;
        let (_, me) = links::disk_identity(disk, &settings.name);
        let (replica, actor) = Actor::spawn(None, Replica, start)
            .await
            .map_err(|e| eyre!("replica can't start: {e}"))?;
        let cfg = LinkSettings {
            heartbeat_interval: settings.timing.link_beat,
            redial_backoff: (
                shortest_pause(settings.timing.redial_most),
                settings.timing.redial_most,
            ),
            ..LinkSettings::default()
        };
        let stop = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let asker = Asker {
            replica: replica.clone(),
            directory: Directory::default(),
        };
        let hub = Hub::new(
            asker.directory.clone(),
            replicas.clone(),
            table,
            TargetCache::new(&settings.data),
        );
        tasks.spawn(until(stop.clone(), hub.clone().run()));
        let keep = {
            let (me, key, cfg, asker) = (me.clone(), key.clone(), cfg.clone(), asker.clone());
            move |address| peers::keep(address, me.clone(), key.clone(), cfg.clone(), asker.clone())
        };
        for other in settings.replicas.iter().filter(|r| r.name != settings.name) {
            tasks.spawn(until(stop.clone(), keep(other.address)));
        }
        let forming = settings.forming.as_ref();
        let seeds = watch::Sender::new(forming.map_or_else(Vec::new, |f| f.seeds.clone()));
        if forming.is_some() {
            let keep_one = move |address| AbortOnDropHandle::new(tokio::spawn(keep(address)));
            let own = settings.advertised();
            let keep_all = peers::keep_all(seeds.subscribe(), replicas, own, keep_one);
            tasks.spawn(until(stop.clone(), keep_all));
        }
        let acceptor = Acceptor {
            me,
            key,
            cfg,
            replica: replica.clone(),
            hub: hub.clone(),
            links_refused: metrics.links_refused.clone(),
            stop: stop.clone(),
        };
        tasks.spawn(acceptor.run(listeners.links));
        let registry = metrics.registry();
        let http = http::serve(
            listeners.http,
            token,
            asker.clone(),
            metrics,
            registry,
            stop.clone(),
        );
        tasks.spawn(http);
        let beat = settings.timing.heartbeat / TICKS_IN_HEARTBEAT;
        tasks.spawn(until(stop.clone(), keep_time(beat, replica.clone())));
        let ended = CancellationToken::new();
        tokio::spawn(watch(actor, stop.clone(), disk_closed, ended.clone()));
        Ok(Control {
            link_address,
            http_address,
            replica,
            asker,
            hub,
            seeds,
            ended,
            tasks: Arc::new(Mutex::new(tasks)),
        })
    }

    pub(crate) fn asker(&self) -> &Asker {
        &self.asker
    }

    pub(crate) fn hub(&self) -> &Hub {
        &self.hub
    }

    pub(crate) fn seeds(&self) -> &watch::Sender<Vec<SocketAddr>> {
        &self.seeds
    }

    /// Where links are accepted.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.link_address
    }

    /// Where operators' HTTP is served.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http_address
    }

    /// What stands at this replica, which need not be the leader.
    ///
    /// # Errors
    ///
    /// The replica has stopped or doesn't answer in time.
    pub async fn status(&self) -> Result<serde_json::Value> {
        let (tx, rx) = oneshot::channel();
        self.replica
            .cast(Msg::Status(tx))
            .map_err(|e| eyre!("replica has stopped: {e}"))?;
        let answer = timeout(STATUS_WITHIN, rx).await;
        answer
            .wrap_err("replica doesn't answer")?
            .wrap_err("replica has stopped")
    }

    /// Resolves once the replica has stopped, by [`Control::shutdown`] or
    /// because its disk can't be relied on.
    pub async fn stopped(&self) {
        self.ended.cancelled().await;
    }

    /// Stops the replica. What it has acknowledged is synced already.
    pub async fn shutdown(&self) {
        self.replica.stop(None);
        self.ended.cancelled().await;
        let mut tasks = self.tasks.lock().await;
        while tasks.join_next().await.is_some() {}
    }
}

/// Makes the new cluster if that is for this replica to do.
fn found(settings: &Settings) -> Result<()> {
    let own = settings.advertised();
    let founds = settings.forming.as_ref().is_some_and(|f| f.founds(own));
    let identity = store::identity(&settings.data);
    // One that crashed between its format and its first snapshot completes.
    let begun = identity.is_ok_and(|_| !store::has_log(&settings.data).unwrap_or(true));
    let blank = store::identity(&settings.data).is_err_and(|e| e.is_blank());
    if founds && (blank || begun) {
        log::info!("founding a new cluster at {own}");
        init(settings)?;
    }
    Ok(())
}

/// Opens the data folder. A predecessor on it may still be ending.
async fn open(settings: Settings, ops: Ops, disk_closed: CancellationToken) -> Result<Start> {
    const PAUSE: Duration = Duration::from_millis(50);
    let opened = async {
        loop {
            let (settings, ops) = (settings.clone(), ops.clone());
            let disk_closed = disk_closed.clone();
            let open = move || open_blocking(settings, ops, disk_closed);
            match tokio::task::spawn_blocking(open).await? {
                Err(e) if e.is_in_use() => tokio::time::sleep(PAUSE).await,
                done => return Ok::<_, eyre::Report>(done?),
            }
        }
    };
    let folder = settings.data.display().to_string();
    let in_time = timeout(LOCK_WITHIN, opened).await;
    in_time.wrap_err_with(|| format!("another process has the folder {folder}"))?
}

fn open_blocking(
    settings: Settings,
    ops: Ops,
    disk_closed: CancellationToken,
) -> store::Result<Start> {
    match store::identity(&settings.data) {
        Err(e) if e.is_blank() => {
            let identity = store::format(&settings.data, &settings.name, &ops)?;
            let name = &settings.name;
            log::warn!("blank disk of {name} formatted as {:016x}", identity.disk);
        }
        found => drop(found?),
    }
    let (disk, recovered) = Disk::open(&settings.data, ops)?;
    if recovered.truncated_bytes > 0 {
        log::warn!(
            "{} bytes of a torn write were cut off",
            recovered.truncated_bytes
        );
    }
    Ok(Start {
        settings,
        disk,
        recovered,
        metrics: Metrics::default(),
        table: watch::Sender::default(),
        replicas: watch::Sender::default(),
        disk_closed: disk_closed.drop_guard(),
    })
}

/// The first pause before a link is dialled again; each further one doubles.
fn shortest_pause(longest: Duration) -> Duration {
    LinkSettings::default().redial_backoff.0.min(longest)
}

async fn until(stop: CancellationToken, work: impl Future<Output = ()>) {
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
}

async fn keep_time(beat: Duration, replica: ActorRef<Msg>) {
    let mut ticks = interval(beat);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if replica.cast(Msg::Tick).is_err() {
            return;
        }
    }
}

/// Tells of the end once the actor has ended and its disk is closed.
///
/// The disk's thread may outlive the actor by a write or a snapshot. Were the
/// end told before, whoever then removes or copies the data folder, or starts
/// another replica on it, would meet files that still appear in it.
async fn watch(
    actor: JoinHandle<()>,
    stop: CancellationToken,
    disk_closed: CancellationToken,
    ended: CancellationToken,
) {
    if let Err(e) = actor.await {
        log::error!("replica ended: {e}");
    }
    stop.cancel();
    disk_closed.cancelled().await;
    ended.cancel();
}
