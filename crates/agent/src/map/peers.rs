//! Links to the other agents of the group.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use ractor::ActorRef;
use tokio_util::sync::CancellationToken;
use wire::proto::frame::Body;
use wire::proto::{Forwarded, Recipient};
use wire::{ClusterKey, Identity, Link, LinkSettings, encode_body};

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
    /// Agents whose last message was forwarded, with the link on which it came.
    routes: Arc<Mutex<BTreeMap<String, Link>>>,
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
            routes: Arc::default(),
        }
    }

    /// Records the link on which a peer last sent a message; answers use it.
    pub fn record_link(&self, link: &Link) {
        let mut links = self.links();
        links.insert(link.peer().name.clone(), LinkState::Up(link.clone()));
    }

    /// Records the link on which another agent forwarded a message of `name`; answers
    /// use it.
    pub fn record_route(&self, name: &str, link: &Link) {
        self.routes().insert(name.to_owned(), link.clone());
    }

    /// Forgets through which agent the messages of `name` came, since it has sent one
    /// itself.
    pub fn forget_route(&self, name: &str) {
        self.routes().remove(name);
    }

    /// Sends a message to `name`: through the agent that forwarded its last message, or
    /// else like [`Peers::send_directly`].
    pub fn send(
        &self,
        name: &str,
        address: Option<SocketAddr>,
        body: Body,
        inbox: &ActorRef<MapMsg>,
    ) {
        let route = self.routes().get(name).cloned();
        let Some(link) = route.filter(|link| !link.is_closed()) else {
            return self.send_directly(name, address, body, inbox);
        };
        let to = Recipient {
            name: name.to_owned(),
            ..Recipient::default()
        };
        let forwarded = Forwarded {
            from: self.me.name.clone(),
            to: vec![to],
            frame: encode_body(body),
        };
        spawn_send(link, Body::Forwarded(forwarded));
    }

    /// Sends a message to `name` if a link is up. Otherwise dials one, and the
    /// message may be lost.
    pub fn send_directly(
        &self,
        name: &str,
        address: Option<SocketAddr>,
        body: Body,
        inbox: &ActorRef<MapMsg>,
    ) {
        let mut links = self.links();
        match links.get(name) {
            Some(LinkState::Up(link)) if !link.is_closed() => {
                spawn_send(link.clone(), body);
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

    fn routes(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, Link>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn links(&self) -> std::sync::MutexGuard<'_, BTreeMap<String, LinkState>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn spawn_send(link: Link, body: Body) {
    tokio::spawn(async move {
        // The switch protocol resends lost messages.
        let _ = link.send(body).await;
    });
}
