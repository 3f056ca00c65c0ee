//! A running agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use hyper::StatusCode;
use node::{Follower, FollowerSettings};
use ractor::{Actor, ActorRef, call};
use tokio::sync::{Semaphore, broadcast, watch};
use tokio::time::sleep;
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::NodeInfo;
use wire::{ClusterKey, Identity, LinkSettings, Role};

use crate::command::CommandQueue;
use crate::context::Context;
use crate::desk::{Desk, DeskMsg, Idle};
use crate::engine::{TargetClient, TargetKind};
use crate::links::{Links, MAX_ASKED};
use crate::map::{MapContext, Maps, Offers};
use crate::metrics::Metrics;
use crate::monitor::Monitor;
use crate::status::Status;
use crate::{Health, Listeners, Phase, Settings};

/// Between two looks at whether anything still runs.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// Cache changes that wait for a slow link.
const CACHE_QUEUE: usize = 64;

/// A running agent; dropping it ends it at once.
pub struct Agent {
    cx: Arc<Context>,
    desk: ActorRef<DeskMsg>,
    commands: CommandQueue,
    links: SocketAddr,
    http: SocketAddr,
    _stop: DropGuard,
}

impl Agent {
    /// Starts an agent with a fresh incarnation.
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
            beat: cfg.timing.beat,
            ..LinkSettings::default()
        };
        let follower = follow(&cfg, &me, &key, &link, links);
        let mut registry = admin::Registry::default();
        let cx = context(cfg, me.incarnation, follower);
        cx.metrics.register(&mut registry);
        let counts = registry.sub_registry_with_prefix("agent");
        cx.target_client.counts().register(counts);
        let (desk, _) = Actor::spawn(None, Desk, Arc::clone(&cx)).await?;
        let (monitor, _) = Actor::spawn(None, Monitor, Arc::clone(&cx)).await?;
        let map_cx = Arc::new(map_context(&cx));
        let commands = crate::command::start(Arc::clone(&map_cx)).await?;
        let maps = match cx.cfg.kind {
            TargetKind::Engine => crate::map::start(&map_cx, &commands, &me, &key, &link).await?,
            TargetKind::Service => Maps::none(),
        };
        let accept = Arc::new(Links {
            cx: Arc::clone(&cx),
            desk: desk.clone(),
            maps,
            me,
            key,
            cfg: link,
            asked: Arc::new(Semaphore::new(MAX_ASKED)),
        });
        tokio::spawn(accept.accept(listeners.links));
        tokio::spawn(serve_pages(Arc::clone(&cx), registry, listeners.http));
        tokio::spawn({
            let (stop, desk) = (cx.stop.clone(), desk.clone());
            async move {
                stop.cancelled().await;
                desk.stop(None);
                monitor.stop(None);
            }
        });
        Ok(Agent {
            _stop: cx.stop.clone().drop_guard(),
            cx,
            desk,
            commands,
            links,
            http,
        })
    }

    /// Where it accepts links.
    #[must_use]
    pub fn link_address(&self) -> SocketAddr {
        self.links
    }

    /// Where it serves health and metrics.
    #[must_use]
    pub fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// This start's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.cx.incarnation
    }

    /// Gives commands to the engine.
    #[must_use]
    pub fn commands(&self) -> CommandQueue {
        self.commands.clone()
    }

    /// Leaves: tells entries and control, takes nothing new, finishes what
    /// runs, keeps answers until they are recorded, and then ends; at the
    /// latest when the time for a shutdown is over. Calling it again waits
    /// for the same end and cuts nothing short.
    pub async fn shutdown(&self) {
        self.cx.follower.set_leaving(true);
        self.cx.phase.send_if_modified(|phase| {
            let before = std::mem::replace(phase, Phase::Leaving);
            before != Phase::Leaving
        });
        let drained = tokio::time::timeout(self.cx.cfg.timing.shutdown, self.drained());
        if drained.await.is_err() {
            log::warn!("the time for a shutdown is over, what still runs is lost");
        }
        self.cx.stop.cancel();
    }

    async fn drained(&self) {
        while !self.cx.stop.is_cancelled() {
            match call!(self.desk, DeskMsg::Idle) {
                Ok(Idle::No) => sleep(DRAIN_LOOK).await,
                Ok(Idle::Yes) | Err(_) => return,
            }
        }
    }
}

fn follow(
    cfg: &Settings,
    me: &Identity,
    key: &ClusterKey,
    link: &LinkSettings,
    listening: SocketAddr,
) -> Follower {
    let info = NodeInfo {
        role: Role::Agent.into(),
        name: cfg.name.clone(),
        incarnation: me.incarnation,
        zone: cfg.zone.clone(),
        link_address: cfg.advertise.unwrap_or(listening).to_string(),
        caller_address: String::new(),
        leaving: false,
        target: None,
    };
    let settings = FollowerSettings {
        controls: cfg.controls.clone(),
        renew: cfg.timing.renew,
        key: key.clone(),
        link: link.clone(),
    };
    Follower::spawn(me.clone(), info, settings)
}

fn context(cfg: Settings, incarnation: u64, follower: Follower) -> Arc<Context> {
    let stop = CancellationToken::new();
    Arc::new(Context {
        target_client: TargetClient::new(cfg.target, cfg.kind, cfg.timing.client.clone())
            .with_keep_alive(cfg.limits.kept, cfg.timing.kept),
        cfg,
        incarnation,
        follower,
        metrics: Metrics::default(),
        phase: watch::Sender::new(Phase::Serving),
        status: watch::Sender::new(Status::new(Instant::now())),
        cache: broadcast::Sender::new(CACHE_QUEUE),
        cut: watch::Sender::new(stop.child_token()),
        stop,
    })
}

fn map_context(cx: &Context) -> MapContext {
    MapContext {
        name: cx.cfg.name.clone(),
        group: cx.cfg.serves.clone(),
        incarnation: cx.incarnation,
        cfg: cx.cfg.maps.clone(),
        poll: cx.cfg.timing.poll,
        follower: cx.follower.clone(),
        target_client: cx.target_client.clone(),
        offers: Offers::Note,
        stop: cx.stop.clone(),
    }
}

async fn serve_pages(
    cx: Arc<Context>,
    registry: admin::Registry,
    listener: tokio::net::TcpListener,
) {
    let stop = cx.stop.clone();
    let pages = admin::Pages::new(Arc::new(registry), move || ready(&cx));
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
