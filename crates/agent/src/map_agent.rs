//! An agent that only takes its rank through switches of the expert map.

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
use crate::map::{MapContext, MapSettings, Maps, Offers};

/// Settings of an agent that only switches maps.
#[derive(Clone)]
pub struct MapAgentSettings {
    /// Who the agent is on links.
    pub me: Identity,
    /// Name of the group.
    pub group: String,
    /// Number of the rank.
    pub rank: u32,
    /// Where its engine answers.
    pub engine: SocketAddr,
    /// How it is spoken to.
    pub dialect: ArmingDialect,
    /// The way to control, under the same identity: a second one would pass for
    /// another process of that name.
    pub follower: Follower,
    /// Between two looks at what is due.
    pub poll: Duration,
    /// The cluster key.
    pub key: ClusterKey,
    /// Times of links.
    pub link: LinkSettings,
    /// Times towards the engine.
    pub client: ClientSettings,
    /// When maps are planned, and how they are switched.
    pub maps: MapSettings,
}

/// An agent that only takes its rank through switches of the expert map:
/// requests go to the engine without it. It ends when it is dropped.
pub struct MapAgent {
    group: Arc<Mutex<Option<Group>>>,
    _stop: DropGuard,
}

impl MapAgent {
    /// Starts it.
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
            poll: cfg.poll,
            follower: cfg.follower.clone(),
            target_client: TargetClient::arming(cfg.engine, cfg.dialect, cfg.client),
            offers: Offers::Told(Arc::clone(&group)),
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

    /// Tells the dimensions of the group; until then none is planned for.
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
    maps: Maps,
    follower: Follower,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("accepting a link failed: {e}");
                tokio::time::sleep(cfg.beat).await;
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
                    maps.take(incoming);
                }
            }
            link.close();
        });
    }
}
