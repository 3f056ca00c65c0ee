//! An agent that only switches expert maps.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use node::Follower;
use note::Group;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::Announcement;
use wire::{ClusterKey, Identity, LinkSettings};

use crate::engine::{ArmingDialect, ClientSettings, TargetClient};
use crate::map::{GroupSource, MapContext, MapHandle, MapSettings};

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
    /// Starts the agent.
    ///
    /// # Errors
    ///
    /// Fails when the listener has no address.
    pub async fn start(cfg: MapAgentSettings, links: TcpListener) -> eyre::Result<MapAgent> {
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
            group_source: GroupSource::Shared(Arc::clone(&group)),
            stop: stop.clone(),
        });
        let commands = crate::command::start(Arc::clone(&cx)).await?;
        let maps = crate::map::start(&cx, &commands, &cfg.me, &cfg.key, &cfg.link).await?;
        let accepting = accept(links, cfg.me, cfg.key, cfg.link, maps, cfg.follower);
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
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

async fn accept(
    listener: TcpListener,
    me: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    maps: MapHandle,
    follower: Follower,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("failed to accept a link: {e}");
                tokio::time::sleep(cfg.heartbeat_interval).await;
                continue;
            }
        };
        let (me, key, cfg) = (me.clone(), key.clone(), cfg.clone());
        let (maps, follower) = (maps.clone(), follower.clone());
        tokio::spawn(async move {
            let (link, mut rx) = match wire::accept(stream, &me, &key, &cfg).await {
                Ok(accepted) => accepted,
                Err(e) => return log::warn!("refused a link: {e}"),
            };
            while let Some(incoming) = rx.recv().await {
                if crate::links::is_relayed(&incoming.body) {
                    follower.relay(incoming);
                } else {
                    maps.deliver(incoming);
                }
            }
            link.close();
        });
    }
}
