//! Links to the other agents of the group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use ractor::ActorRef;
use tokio_util::sync::CancellationToken;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, Link, LinkSettings};

use crate::map::msg::MapMsg;

/// Links to the other agents of the group; clones share them.
#[derive(Clone)]
pub(crate) struct Peers {
    me: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    /// Closes the links that were dialed.
    stop: CancellationToken,
    links: Arc<Mutex<BTreeMap<String, LinkState>>>,
}

enum LinkState {
    Dialing,
    Up(Link),
}

impl Peers {
    pub fn new(me: Identity, key: ClusterKey, cfg: LinkSettings, stop: CancellationToken) -> Self {
        Peers {
            me,
            key,
            cfg,
            stop,
            links: Arc::default(),
        }
    }

    /// Records the link on which a peer last sent a message; answers use it.
    pub fn record_link(&self, link: &Link) {
        let mut links = self.links();
        links.insert(link.peer().name.clone(), LinkState::Up(link.clone()));
    }

    /// Sends a message to `name` if a link is up. Otherwise dials one, and the
    /// message may be lost.
    pub fn send(
        &self,
        name: &str,
        address: Option<SocketAddr>,
        body: Body,
        inbox: &ActorRef<MapMsg>,
    ) {
        let mut links = self.links();
        match links.get(name) {
            Some(LinkState::Up(link)) if !link.is_closed() => {
                let link = link.clone();
                tokio::spawn(async move {
                    // The switch protocol resends lost messages.
                    let _ = link.send(body).await;
                });
            }
            Some(LinkState::Dialing) => {}
            _ => {
                let Some(address) = address else { return };
                links.insert(name.to_owned(), LinkState::Dialing);
                let peers = self.clone();
                let dial = peers.dial(name.to_owned(), address, body, inbox.clone());
                tokio::spawn(self.stop.clone().run_until_cancelled_owned(dial));
            }
        }
    }

    async fn dial(self, name: String, address: SocketAddr, body: Body, inbox: ActorRef<MapMsg>) {
        let dialed = wire::dial(address, &self.me, &self.key, &self.cfg).await;
        let (link, mut rx) = match dialed {
            Ok(dialed) => dialed,
            Err(e) => {
                log::warn!("failed to dial agent {name}: {e}");
                self.links().remove(&name);
                return;
            }
        };
        self.links()
            .insert(name.clone(), LinkState::Up(link.clone()));
        let _ = link.send(body).await;
        while let Some(incoming) = rx.recv().await {
            let msg = MapMsg::Incoming(Box::new(incoming));
            if inbox.send_message(msg).is_err() {
                return;
            }
        }
    }

    fn links(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, LinkState>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
