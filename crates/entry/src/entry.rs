//! A running entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use admin::{HalfClose, MonitoringRoutes, OperatorRoutes, OperatorToken, ServerSettings};
use eyre::WrapErr;
use node::{Follower, FollowerSettings};
use ractor::{Actor, ActorRef};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::proto::NodeInfo;
use wire::{ClusterKey, Identity, LinkSettings, Role};

use crate::http::Front;
use crate::links::{News, Roster, RosterCx};
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::work::Cx;
use crate::{Listeners, Settings};

/// A running entry: callers' HTTP, admission, choice of target, retries and
/// streams. It holds nothing that must survive.
pub struct Entry {
    http: SocketAddr,
    settings: Arc<Settings>,
    follower: Follower,
    leaving: Arc<AtomicBool>,
    stop: CancellationToken,
    ended: watch::Receiver<bool>,
}

impl Entry {
    /// Starts an entry on the runtime that this is called on.
    ///
    /// # Errors
    /// Fails when the key or token file can't be read.
    pub async fn start(settings: Settings, listeners: Listeners) -> eyre::Result<Entry> {
        let http = listeners.http.local_addr()?;
        let settings = Arc::new(settings);
        let key = ClusterKey::from_file(&settings.cluster_key_file)
            .wrap_err_with(|| format!("cluster key {}", settings.cluster_key_file.display()))?;
        let me = Identity::new(Role::Entry, &settings.name, rand::random());
        let link = LinkSettings {
            heartbeat_interval: settings.timing.beat,
            ..LinkSettings::default()
        };
        let info = info(&settings, &me, http);
        let follower = FollowerSettings {
            controls: settings.controls.clone(),
            renew: settings.timing.renew,
            key: key.clone(),
            link: link.clone(),
        };
        let follower = Follower::spawn(me.clone(), info, follower);
        let seed = rand::random();
        let placement = Placement::new(&settings.zone, &settings.limits, &settings.timing, seed);
        let placement = Arc::new(placement);
        let (metrics, registry) = Metrics::new();
        let roster = RosterCx {
            follower: follower.clone(),
            placement: Arc::clone(&placement),
            me,
            key,
            link,
            metrics: metrics.pools.clone(),
            links: metrics.links.clone(),
            zone: settings.zone.clone(),
            subset: settings.limits.subset(),
        };
        let (roster, _) = Actor::spawn(None, Roster, roster).await?;
        let leaving = Arc::new(AtomicBool::new(false));
        let cx = Cx {
            follower: follower.clone(),
            placement,
            timing: Arc::new(settings.timing.clone()),
            limits: Arc::new(settings.limits.clone()),
            metrics,
            tracker: TaskTracker::new(),
        };
        let operators = operators(&settings, &follower)?;
        let front = front(&settings, cx, registry, operators, &leaving);
        let stop = CancellationToken::new();
        let (ended_tx, ended) = watch::channel(false);
        let serving = serve(listeners, front, roster, stop.clone(), ended_tx);
        tokio::spawn(serving);
        log::info!("entry {} serves callers at {http}", settings.name);
        Ok(Entry {
            http,
            settings,
            follower,
            leaving,
            stop,
            ended,
        })
    }

    /// Where callers and operators connect.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Shuts the entry down without cutting off a request.
    ///
    /// It leaves the address list at once and goes on serving until the lists
    /// that callers have kept have run out; then it waits for the requests in
    /// progress, within a bound. Calling it again joins the first call.
    pub async fn shutdown(&self) {
        if !self.leaving.swap(true, Ordering::Relaxed) {
            self.follower.set_leaving(true);
            let (ttl, stop) = (self.settings.timing.address_ttl, self.stop.clone());
            tokio::spawn(async move {
                tokio::time::sleep(ttl).await;
                stop.cancel();
            });
        }
        let mut ended = self.ended.clone();
        // An error means that the server is gone too.
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

fn info(settings: &Settings, me: &Identity, http: SocketAddr) -> NodeInfo {
    // Port 0 in the settings means the port that the kernel chose.
    let mut advertise = settings.advertise;
    if advertise.port() == 0 {
        advertise.set_port(http.port());
    }
    NodeInfo {
        role: Role::Entry.into(),
        name: me.name.clone(),
        incarnation: me.incarnation,
        zone: settings.zone.clone(),
        caller_address: advertise.to_string(),
        ..NodeInfo::default()
    }
}

fn operators(settings: &Settings, follower: &Follower) -> eyre::Result<Option<OperatorRoutes>> {
    let Some(file) = &settings.operator_token_file else {
        return Ok(None);
    };
    let token = OperatorToken::from_file(file)?;
    let within = settings.timing.commit;
    let (propose, query) = (follower.clone(), follower.clone());
    Ok(Some(OperatorRoutes::new(
        token,
        Arc::new(move |command| {
            let follower = propose.clone();
            Box::pin(async move { follower.propose_or_refuse(command, within).await })
        }),
        Arc::new(move |body| {
            let follower = query.clone();
            Box::pin(async move { Ok(follower.query(body, within).await?) })
        }),
    )))
}

fn front(
    settings: &Arc<Settings>,
    cx: Cx,
    registry: Arc<admin::Registry>,
    operators: Option<OperatorRoutes>,
    leaving: &Arc<AtomicBool>,
) -> Front {
    let (follower, flag) = (cx.follower.clone(), Arc::clone(leaving));
    let pages = MonitoringRoutes::new(registry, move || ready(&follower, &flag));
    Front {
        settings: Arc::clone(settings),
        cx,
        pages,
        operators,
    }
}

/// Why the entry takes no new work, if so.
fn ready(follower: &Follower, leaving: &AtomicBool) -> Result<(), String> {
    if leaving.load(Ordering::Relaxed) {
        return Err("leaving".to_owned());
    }
    if !follower.leased(std::time::Instant::now()) {
        return Err("no lease from a majority of control".to_owned());
    }
    Ok(())
}

async fn serve(
    listeners: Listeners,
    front: Front,
    roster: ActorRef<News>,
    stop: CancellationToken,
    ended: watch::Sender<bool>,
) {
    let cfg = ServerSettings {
        max_connections: front.settings.limits.connections,
        head_timeout: front.settings.timing.receive,
        drain_timeout: front.settings.timing.drain,
        half_close: HalfClose::Disconnect,
        ..ServerSettings::default()
    };
    let drain = cfg.drain_timeout;
    let tracker = front.cx.tracker.clone();
    admin::serve(listeners.http, cfg, stop, move |req| {
        front.clone().handle(req)
    })
    .await;
    tracker.close();
    if tokio::time::timeout(drain, tracker.wait()).await.is_err() {
        let open = tracker.len();
        log::warn!("{open} non-repeatable calls were still followed at the end");
    }
    roster.stop(None);
    ended.send_replace(true);
}
