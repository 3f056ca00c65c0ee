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
    /// Ends the links that were dialled.
    stop: CancellationToken,
    links: Arc<Mutex<BTreeMap<String, Slot>>>,
}

enum Slot {
    Dialling,
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

    /// Answers go out on the link that a peer last wrote on.
    pub fn heard(&self, link: &Link) {
        let mut links = self.links();
        links.insert(link.peer().name.clone(), Slot::Up(link.clone()));
    }

    /// Sends a message to `name`, if a link is up; otherwise one is dialled,
    /// and the message is lost as it would be on the way.
    pub fn send(
        &self,
        name: &str,
        address: Option<SocketAddr>,
        body: Body,
        inbox: &ActorRef<MapMsg>,
    ) {
        let mut links = self.links();
        match links.get(name) {
            Some(Slot::Up(link)) if !link.is_closed() => {
                let link = link.clone();
                tokio::spawn(async move {
                    // The switch protocol sends again what was lost.
                    let _ = link.send(body).await;
                });
            }
            Some(Slot::Dialling) => {}
            _ => {
                let Some(address) = address else { return };
                links.insert(name.to_owned(), Slot::Dialling);
                let peers = self.clone();
                let dial = peers.dial(name.to_owned(), address, body, inbox.clone());
                tokio::spawn(self.stop.clone().run_until_cancelled_owned(dial));
            }
        }
    }

    async fn dial(self, name: String, address: SocketAddr, body: Body, inbox: ActorRef<MapMsg>) {
        let dialled = wire::dial(address, &self.me, &self.key, &self.cfg).await;
        let (link, mut rx) = match dialled {
            Ok(dialled) => dialled,
            Err(e) => {
                log::warn!("can't dial agent {name}: {e}");
                self.links().remove(&name);
                return;
            }
        };
        self.links().insert(name.clone(), Slot::Up(link.clone()));
        let _ = link.send(body).await;
        while let Some(incoming) = rx.recv().await {
            let msg = MapMsg::Incoming(Box::new(incoming));
            if inbox.send_message(msg).is_err() {
                return;
            }
        }
    }

    fn links(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Slot>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
