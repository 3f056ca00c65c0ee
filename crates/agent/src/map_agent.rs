//! An agent that only switches expert maps.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use node::Follower;
use note::Group;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::Announcement;
use wire::{ClusterKey, Identity, LinkSettings};

use crate::engine::{ArmingDialect, ClientSettings, TargetClient};
use crate::links::is_relayed;
use crate::map::{GroupSource, MapContext, MapHandle, MapMetrics, MapSettings};

/// Settings of an agent that only switches maps.
#[derive(Clone)]
pub struct MapAgentSettings {
    /// Identity of the agent on links.
    pub me: Identity,
    /// Name of the group.
    pub group: String,
    /// Number of the rank.
    pub rank: u32,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Wire format of the engine's commands.
    pub dialect: ArmingDialect,
    /// Connection to control under the same identity; a second one would be taken
    /// for another process of that name.
    pub follower: Follower,
    /// Interval of ticks.
    pub tick_interval: Duration,
    /// The cluster key.
    pub key: ClusterKey,
    /// Settings of links.
    pub link: LinkSettings,
    /// Timeouts of requests to the engine.
    pub client: ClientSettings,
    /// Settings of planning and switching.
    pub maps: MapSettings,
}

/// An agent that only switches the expert map of its rank; requests reach the
/// engine without it. Dropping it stops it.
pub struct MapAgent {
    group: Arc<Mutex<Option<Group>>>,
    _stop: DropGuard,
}

impl MapAgent {
    /// Starts the agent. It accepts links until it is dropped, and then closes them; the
    /// listener may be shared with the agent that follows.
    ///
    /// # Errors
    ///
    /// Fails when an actor can't be started.
    pub async fn start(cfg: MapAgentSettings, links: Arc<TcpListener>) -> eyre::Result<MapAgent> {
        cfg.follower.set_announcement(Announcement {
            target: cfg.me.name.clone(),
            group: cfg.group.clone(),
            ranks: vec![cfg.rank],
            healthy: true,
            ..Announcement::default()
        });
        let group = Arc::default();
        let stop = CancellationToken::new();
        let cx = Arc::new(MapContext {
            name: cfg.me.name.clone(),
            group: cfg.group,
            incarnation: cfg.me.incarnation,
            cfg: cfg.maps,
            tick_interval: cfg.tick_interval,
            follower: cfg.follower.clone(),
            target_client: TargetClient::arming(cfg.engine, cfg.dialect, cfg.client),
            // Agents of a single rank serve no metrics; they log the balance.
            metrics: MapMetrics::default(),
            group_source: GroupSource::Shared(Arc::clone(&group)),
            stop: stop.clone(),
        });
        let commands = crate::command::start(Arc::clone(&cx)).await?;
        let maps = crate::map::start(&cx, &commands, &cfg.me, &cfg.key, &cfg.link).await?;
        let acceptor = LinkAcceptor {
            me: cfg.me,
            key: cfg.key,
            cfg: cfg.link,
            maps,
            follower: cfg.follower,
            stop: stop.clone(),
        };
        tokio::spawn(acceptor.run(links));
        Ok(MapAgent {
            group,
            _stop: stop.drop_guard(),
        })
    }

    /// Sets the dimensions of the group; until then no map is planned.
    pub fn set_group(&self, group: Group) {
        let mut known = self.group.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some(group);
    }
}

/// Accepts links of other agents until the agent stops.
#[derive(Clone)]
struct LinkAcceptor {
    me: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    maps: MapHandle,
    follower: Follower,
    stop: CancellationToken,
}

impl LinkAcceptor {
    async fn run(self, listener: Arc<TcpListener>) {
        let stop = self.stop.clone();
        while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
            match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve(stream));
                }
                Err(e) => {
                    log::warn!("failed to accept a link: {e}");
                    tokio::time::sleep(self.cfg.heartbeat_interval).await;
                }
            }
        }
    }

    /// Serves a link until its peer closes it or the agent stops. The peer then connects
    /// again, to the agent that follows.
    async fn serve(self, stream: TcpStream) {
        let accepting = wire::accept(stream, &self.me, &self.key, &self.cfg);
        let (link, mut rx) = match self.stop.run_until_cancelled(accepting).await {
            Some(Ok(accepted)) => accepted,
            Some(Err(e)) => return log::warn!("refused a link: {e}"),
            None => return,
        };
        while let Some(Some(incoming)) = self.stop.run_until_cancelled(rx.recv()).await {
            if is_relayed(&incoming.body) {
                self.follower.relay(incoming);
            } else {
                self.maps.deliver(incoming);
            }
        }
        link.close();
    }
}
