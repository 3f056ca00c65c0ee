//! A running agent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use hyper::StatusCode;
use node::{ControlAddresses, Follower, FollowerSettings};
use ractor::{Actor, ActorRef, call};
use tokio::sync::{Semaphore, broadcast, watch};
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::NodeInfo;
use wire::{ClusterKey, Identity, LinkSettings, Role};

use crate::attempt_manager::{AttemptManager, AttemptMsg, Idle};
use crate::command::CommandQueue;
use crate::context::Context;
use crate::engine::{TargetClient, TargetKind};
use crate::links::{LinkServer, MAX_PENDING};
use crate::map::{GroupSource, MapContext, MapHandle};
use crate::metrics::Metrics;
use crate::monitor::Monitor;
use crate::status::Status;
use crate::{Health, Listeners, Phase, Settings};

/// Interval at which a shutdown checks whether anything still runs.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Cache changes that are queued for a slow link.
const CACHE_EVENT_CAPACITY: usize = 64;

/// A running agent; dropping it stops it at once.
pub struct Agent {
    cx: Arc<Context>,
    manager: ActorRef<AttemptMsg>,
    commands: CommandQueue,
    links: SocketAddr,
    http: SocketAddr,
    _stop: DropGuard,
}

impl Agent {
    /// Starts an agent with a new incarnation.
    ///
    /// # Errors
    ///
    /// Fails when the cluster key can't be read or a socket has no address.
    pub async fn start(cfg: Settings, listeners: Listeners) -> eyre::Result<Self> {
        let key = ClusterKey::from_file(&cfg.cluster_key_file).wrap_err("cluster key")?;
        let links = listeners.links.local_addr()?;
        let http = listeners.http.local_addr()?;
        let me = Identity::new(Role::Agent, cfg.name.clone(), rand::random());
        let link = LinkSettings {
            heartbeat_interval: cfg.timing.heartbeat_interval,
            ..LinkSettings::default()
        };
        let follower = spawn_follower(&cfg, &me, &key, &link, links);
        let mut registry = admin::Registry::default();
        let cx = context(cfg, me.incarnation, follower);
        cx.metrics.register(&mut registry);
        let counts = registry.sub_registry_with_prefix("agent");
        cx.target_client.counts().register(counts);
        let (manager, _) = Actor::spawn(None, AttemptManager, Arc::clone(&cx)).await?;
        let (monitor, _) = Actor::spawn(None, Monitor, Arc::clone(&cx)).await?;
        let map_cx = Arc::new(map_context(&cx));
        let commands = crate::command::start(Arc::clone(&map_cx)).await?;
        let maps = match cx.cfg.kind {
            TargetKind::Engine => crate::map::start(&map_cx, &commands, &me, &key, &link).await?,
            TargetKind::Service => MapHandle::disabled(),
        };
        let accept = Arc::new(LinkServer {
            cx: Arc::clone(&cx),
            manager: manager.clone(),
            maps,
            me,
            key,
            cfg: link,
            pending: Arc::new(Semaphore::new(MAX_PENDING)),
        });
        tokio::spawn(accept.accept(listeners.links));
        tokio::spawn(serve_admin(Arc::clone(&cx), registry, listeners.http));
        tokio::spawn({
            let (stop, manager) = (cx.stop.clone(), manager.clone());
            async move {
                stop.cancelled().await;
                manager.stop(None);
                monitor.stop(None);
            }
        });
        Ok(Agent {
            _stop: cx.stop.clone().drop_guard(),
            cx,
            manager,
            commands,
            links,
            http,
        })
    }

    /// Address on which links are accepted.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.links
    }

    /// Address of the health and metrics endpoints.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Incarnation of this agent.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.cx.incarnation
    }

    /// Queue of map commands to the engine.
    #[must_use]
    pub fn commands(&self) -> CommandQueue {
        self.commands.clone()
    }

    /// Shuts the agent down gracefully: announces to entries and control that the
    /// target is leaving, refuses new attempts, finishes running ones, and keeps
    /// answers until they are recorded. Stops when that is done, at the latest
    /// after the shutdown timeout. A second call waits for the same shutdown and
    /// doesn't shorten it.
    pub async fn shutdown(&self) {
        self.cx.follower.set_leaving(true);
        self.cx.phase.send_if_modified(|phase| {
            let before = std::mem::replace(phase, Phase::Leaving);
            before != Phase::Leaving
        });
        let drained =
            tokio::time::timeout(self.cx.cfg.timing.shutdown_timeout, self.wait_drained());
        if drained.await.is_err() {
            log::warn!("shutdown timeout reached; aborting running attempts");
        }
        self.cx.stop.cancel();
    }

    async fn wait_drained(&self) {
        while !self.cx.stop.is_cancelled() {
            match call!(self.manager, AttemptMsg::Idle) {
                Ok(Idle::No) => sleep(DRAIN_POLL_INTERVAL).await,
                Ok(Idle::Yes) | Err(_) => return,
            }
        }
    }
}

fn spawn_follower(
    cfg: &Settings,
    me: &Identity,
    key: &ClusterKey,
    link: &LinkSettings,
    local_address: SocketAddr,
) -> Follower {
    let info = NodeInfo {
        role: Role::Agent.into(),
        name: cfg.name.clone(),
        incarnation: me.incarnation,
        zone: cfg.zone.clone(),
        link_address: cfg.advertise.unwrap_or(local_address).to_string(),
        caller_address: String::new(),
        leaving: false,
        target: None,
    };
    let settings = FollowerSettings {
        controls: ControlAddresses::All(cfg.controls.clone()),
        renew_interval: cfg.timing.renew_interval,
        key: key.clone(),
        link: link.clone(),
    };
    Follower::spawn(me.clone(), info, settings)
}

fn context(cfg: Settings, incarnation: u64, follower: Follower) -> Arc<Context> {
    let stop = CancellationToken::new();
    Arc::new(Context {
        target_client: TargetClient::new(cfg.target_address, cfg.kind, cfg.timing.client.clone())
            .with_keep_alive(
                cfg.limits.idle_connections,
                cfg.timing.connection_idle_timeout,
            ),
        cfg,
        incarnation,
        follower,
        metrics: Metrics::default(),
        phase: watch::Sender::new(Phase::Serving),
        status: watch::Sender::new(Status::new(Instant::now())),
        cache: broadcast::Sender::new(CACHE_EVENT_CAPACITY),
        rest: Mutex::default(),
        link_cancel: watch::Sender::new(stop.child_token()),
        stop,
    })
}

fn map_context(cx: &Context) -> MapContext {
    MapContext {
        name: cx.cfg.name.clone(),
        group: cx.cfg.group_or_service.clone(),
        incarnation: cx.incarnation,
        cfg: cx.cfg.maps.clone(),
        tick_interval: cx.cfg.timing.poll_interval,
        follower: cx.follower.clone(),
        target_client: cx.target_client.clone(),
        metrics: cx.metrics.maps.clone(),
        group_source: GroupSource::ReleaseNote,
        stop: cx.stop.clone(),
    }
}

async fn serve_admin(
    cx: Arc<Context>,
    registry: admin::Registry,
    listener: tokio::net::TcpListener,
) {
    let stop = cx.stop.clone();
    let pages = admin::MonitoringRoutes::new(Arc::new(registry), move || ready(&cx));
    let settings = admin::ServerSettings::default();
    admin::serve(listener, settings, stop, move |req| {
        let answer = pages.answer(req.method(), req.uri().path());
        async move {
            answer.unwrap_or_else(|| {
                admin::Problem::new(StatusCode::NOT_FOUND, "no such page").into_response()
            })
        }
    })
    .await;
}

fn ready(cx: &Context) -> Result<(), String> {
    if cx.phase() == Phase::Leaving {
        return Err("leaving".to_owned());
    }
    if cx.health() == Health::Down {
        return Err("the target doesn't answer".to_owned());
    }
    if !cx.follower.leased(Instant::now()) {
        return Err("no lease from control".to_owned());
    }
    Ok(())
}
