//! An agent that only takes its rank through switches of the expert map.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use node::{Follower, FollowerSettings};
use note::Group;
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::{Announcement, NodeInfo};
use wire::{ClusterKey, Identity, LinkSettings, Role};

use crate::engine::{ArmingDialect, ClientSettings, Outlet};
use crate::map::{MapContext, MapSettings, Maps, Offers};

/// Settings of an agent that only switches maps.
#[derive(Clone, Debug)]
pub struct MapAgentSettings {
    /// Name of the host's agent.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Name of the group.
    pub group: String,
    /// Number of the rank.
    pub rank: u32,
    /// Where its engine answers.
    pub engine: SocketAddr,
    /// How it is spoken to.
    pub dialect: ArmingDialect,
    /// Links of the control replicas.
    pub controls: Vec<SocketAddr>,
    /// Between two renewals of the lease.
    pub renew: Duration,
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
    follower: Follower,
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
        let me = Identity::new(Role::Agent, cfg.name.clone(), rand::random());
        let announcement = Announcement {
            target: cfg.name.clone(),
            group: cfg.group.clone(),
            ranks: vec![cfg.rank],
            healthy: true,
            ..Announcement::default()
        };
        let info = NodeInfo {
            role: Role::Agent.into(),
            name: cfg.name.clone(),
            incarnation: me.incarnation,
            zone: cfg.zone.clone(),
            link_address: links.local_addr()?.to_string(),
            target: Some(announcement),
            ..NodeInfo::default()
        };
        let following = FollowerSettings {
            controls: cfg.controls.clone(),
            renew: cfg.renew,
            key: cfg.key.clone(),
            link: cfg.link.clone(),
        };
        let follower = Follower::spawn(me.clone(), info, following);
        let group = Arc::default();
        let stop = CancellationToken::new();
        let cx = Arc::new(MapContext {
            name: cfg.name,
            group: cfg.group,
            incarnation: me.incarnation,
            cfg: cfg.maps,
            poll: cfg.poll,
            follower: follower.clone(),
            outlet: Outlet::arming(cfg.engine, cfg.dialect, cfg.client),
            offers: Offers::Told(Arc::clone(&group)),
            stop: stop.clone(),
        });
        let orders = crate::order::start(Arc::clone(&cx)).await?;
        let maps = crate::map::start(&cx, &orders, &me, &cfg.key, &cfg.link).await?;
        let accepting = accept(links, me, cfg.key, cfg.link, maps, follower.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
        Ok(MapAgent {
            follower,
            group,
            _stop: stop.drop_guard(),
        })
    }

    /// Tells the dimensions of the group; until then none is planned for.
    pub fn set_group(&self, group: Group) {
        let mut known = self.group.lock().unwrap_or_else(PoisonError::into_inner);
        *known = Some(group);
    }

    /// The way to control.
    #[must_use]
    pub fn follower(&self) -> &Follower {
        &self.follower
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
