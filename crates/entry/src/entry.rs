//! A running entry node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use admin::{
    ConnectionLimits, HalfClose, MonitoringRoutes, OperatorRoutes, OperatorToken, ServerSettings,
    available_memory,
};
use eyre::WrapErr;
use node::{ControlAddresses, Follower, FollowerSettings};
use ractor::{Actor, ActorRef};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::proto::NodeInfo;
use wire::{ClusterKey, Identity, LinkSettings, Role};

use crate::http::Frontend;
use crate::links::{LinkEvent, LinkManager, LinkManagerArguments};
use crate::metrics::Metrics;
use crate::placement::Placement;
use crate::work::ExecutionContext;
use crate::{Listeners, Settings};

/// Part of the memory that callers may make an entry hold. The rest is for the answers and
/// for the entry itself.
const CALLERS_MEMORY_PART: usize = 2;

/// A running entry node: serves callers over HTTP, admits requests, selects targets,
/// retries and streams answers. It holds no durable state.
pub struct Entry {
    http: SocketAddr,
    settings: Arc<Settings>,
    follower: Follower,
    shutting_down: Arc<AtomicBool>,
    stop: CancellationToken,
    ended: watch::Receiver<bool>,
}

impl Entry {
    /// Starts an entry on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails if the cluster key file or the operator token file cannot be read.
    pub async fn start(settings: Settings, listeners: Listeners) -> eyre::Result<Entry> {
        let http = listeners.http.local_addr()?;
        let settings = Arc::new(settings);
        let key = ClusterKey::from_file(&settings.cluster_key_file)
            .wrap_err_with(|| format!("cluster key {}", settings.cluster_key_file.display()))?;
        let identity = Identity::new(Role::Entry, &settings.name, rand::random());
        let link = LinkSettings {
            heartbeat_interval: settings.timing.beat,
            ..LinkSettings::default()
        };
        let info = info(&settings, &identity, http);
        let follower = FollowerSettings {
            controls: ControlAddresses::All(settings.controls.clone()),
            renew_interval: settings.timing.renew,
            key: key.clone(),
            link: link.clone(),
        };
        let follower = Follower::spawn(identity.clone(), info, follower);
        let seed = rand::random();
        let placement = Placement::new(&settings.zone, &settings.limits, &settings.timing, seed);
        let placement = Arc::new(placement);
        let (metrics, registry) = Metrics::new();
        let link_manager = LinkManagerArguments {
            follower: follower.clone(),
            placement: Arc::clone(&placement),
            identity,
            key,
            link,
            pool_metrics: metrics.pools.clone(),
            link_metrics: metrics.links.clone(),
            zone: settings.zone.clone(),
            subset: settings.limits.subset(),
        };
        let (link_manager, _) = Actor::spawn(None, LinkManager, link_manager).await?;
        let shutting_down = Arc::new(AtomicBool::new(false));
        let context = ExecutionContext {
            follower: follower.clone(),
            placement,
            timing: Arc::new(settings.timing.clone()),
            limits: Arc::new(settings.limits.clone()),
            metrics,
            tracker: TaskTracker::new(),
        };
        let operators = operators(&settings, &follower)?;
        let frontend = frontend(&settings, context, registry, operators, &shutting_down);
        let stop = CancellationToken::new();
        let (ended_tx, ended) = watch::channel(false);
        let server = serve(listeners, frontend, link_manager, stop.clone(), ended_tx);
        tokio::spawn(server);
        log::info!("entry {} listening on {http}", settings.name);
        Ok(Entry {
            http,
            settings,
            follower,
            shutting_down,
            stop,
            ended,
        })
    }

    /// Address on which callers and operators connect.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Shuts the entry down without interrupting running requests.
    ///
    /// The entry is removed from the address list at once. It keeps serving until the
    /// lists that callers have cached expire, and then waits for the running requests,
    /// at most for the drain timeout. Further calls wait for the same shutdown.
    pub async fn shutdown(&self) {
        if !self.shutting_down.swap(true, Ordering::Relaxed) {
            self.follower.set_leaving(true);
            let (ttl, stop) = (self.settings.timing.address_ttl, self.stop.clone());
            tokio::spawn(async move {
                tokio::time::sleep(ttl).await;
                stop.cancel();
            });
        }
        let mut ended = self.ended.clone();
        // An error means that the server task has ended as well.
        let _ = ended.wait_for(|ended| *ended).await;
    }
}

fn info(settings: &Settings, identity: &Identity, http: SocketAddr) -> NodeInfo {
    // Port 0 in the settings stands for the port that the kernel assigned.
    let mut advertise = settings.advertise;
    if advertise.port() == 0 {
        advertise.set_port(http.port());
    }
    NodeInfo {
        role: Role::Entry.into(),
        name: identity.name.clone(),
        incarnation: identity.incarnation,
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
    let timeout = settings.timing.commit;
    let (propose, query) = (follower.clone(), follower.clone());
    Ok(Some(OperatorRoutes::new(
        token,
        Arc::new(move |command| {
            let follower = propose.clone();
            Box::pin(async move { follower.propose_fail_fast(command, timeout).await })
        }),
        Arc::new(move |body| {
            let follower = query.clone();
            Box::pin(async move { Ok(follower.query(body, timeout).await?) })
        }),
    )))
}

fn frontend(
    settings: &Arc<Settings>,
    context: ExecutionContext,
    registry: Arc<admin::Registry>,
    operators: Option<OperatorRoutes>,
    shutting_down: &Arc<AtomicBool>,
) -> Frontend {
    let (follower, is_shutting_down) = (context.follower.clone(), Arc::clone(shutting_down));
    let pages = MonitoringRoutes::new(registry, move || ready(&follower, &is_shutting_down));
    Frontend {
        settings: Arc::clone(settings),
        context,
        pages,
        operators,
    }
}

/// Checks whether the entry accepts new requests; the error is the reason why not.
fn ready(follower: &Follower, shutting_down: &AtomicBool) -> Result<(), String> {
    if shutting_down.load(Ordering::Relaxed) {
        return Err("leaving".to_owned());
    }
    if !follower.leased(std::time::Instant::now()) {
        return Err("no lease from a majority of control".to_owned());
    }
    Ok(())
}

async fn serve(
    listeners: Listeners,
    frontend: Frontend,
    link_manager: ActorRef<LinkEvent>,
    stop: CancellationToken,
    ended: watch::Sender<bool>,
) {
    let cfg = ServerSettings {
        max_connections: frontend.settings.limits.connections,
        max_bytes: available_memory() / CALLERS_MEMORY_PART,
        connection: ConnectionLimits {
            head_timeout: frontend.settings.timing.receive,
            idle_timeout: frontend.settings.timing.receive,
            ..ConnectionLimits::default()
        },
        drain_timeout: frontend.settings.timing.drain,
        half_close: HalfClose::Disconnect,
        ..ServerSettings::default()
    };
    let drain = cfg.drain_timeout;
    let tracker = frontend.context.tracker.clone();
    admin::serve(listeners.http, cfg, stop, move |req| {
        frontend.clone().handle(req)
    })
    .await;
    tracker.close();
    if tokio::time::timeout(drain, tracker.wait()).await.is_err() {
        let open = tracker.len();
        log::warn!("shutdown timeout expired with {open} non-repeatable calls still running");
    }
    link_manager.stop(None);
    ended.send_replace(true);
}
