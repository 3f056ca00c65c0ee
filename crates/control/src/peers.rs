//! Links to the other replicas.

use crate::codec;
use crate::leader_client::LeaderClient;
use crate::replica::Msg;
use crate::replicas::Replicas;
use quorum::{DiskId, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, Role};

/// Maximum number of messages queued for a link. Excess messages are dropped, as on a
/// lossy network; the log protocol sends them again.
const LINK_QUEUE_LEN: usize = 1024;

/// Open links, by the disk of the peer replica.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    links: BTreeMap<DiskId, PeerLink>,
}

/// An open link.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    tx: mpsc::Sender<Message>,
}

impl Peers {
    pub(crate) fn insert(&mut self, id: DiskId, link: PeerLink) {
        self.links.insert(id, link);
    }

    /// Removes a closed link, unless a newer one has replaced it.
    pub(crate) fn remove_closed(&mut self, id: DiskId) {
        if self.links.get(&id).is_some_and(|link| link.tx.is_closed()) {
            self.links.remove(&id);
        }
    }

    pub(crate) fn send(&self, message: Message) {
        if let Some(link) = self.links.get(&message.to) {
            // The queue is full or the link was just closed. The log protocol resends
            // messages that are not answered.
            let _ = link.tx.try_send(message);
        }
    }

    /// Returns whether the link to a replica is open.
    pub(crate) fn is_connected(&self, id: DiskId) -> bool {
        self.links.get(&id).is_some_and(|link| !link.tx.is_closed())
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = DiskId> {
        self.links.keys().copied()
    }
}

/// Keeps a link to another replica open: dials it again whenever the link is closed.
pub(crate) async fn keep_connected(
    address: SocketAddr,
    identity: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    leader_client: LeaderClient,
) {
    wire::redial(address, identity, key, cfg, move |link, rx| {
        serve(link, rx, leader_client.clone())
    })
    .await;
}

/// Keeps links to the seeds and to all members open while both change.
pub(crate) async fn keep_all_connected(
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
    mut replicas: watch::Receiver<Replicas>,
    own: SocketAddr,
    connect: impl Fn(SocketAddr) -> AbortOnDropHandle<()>,
) {
    let mut tasks: BTreeMap<SocketAddr, AbortOnDropHandle<()>> = BTreeMap::new();
    loop {
        let mut wanted: BTreeSet<SocketAddr> = seeds.borrow_and_update().iter().copied().collect();
        wanted.extend(replicas.borrow_and_update().addresses.iter());
        wanted.remove(&own);
        tasks.retain(|address, _| wanted.contains(address));
        for address in wanted {
            tasks.entry(address).or_insert_with(|| connect(address));
        }
        let changed = tokio::select! {
            changed = seeds.changed() => changed,
            changed = replicas.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

async fn serve(link: Link, mut rx: mpsc::Receiver<Incoming>, leader_client: LeaderClient) {
    let LeaderClient {
        replica,
        replica_links,
    } = leader_client;
    let peer = link.peer();
    if peer.role != Role::Control {
        log::error!("{} is not a control replica, check the settings", peer.name);
        return;
    }
    let id = DiskId(peer.incarnation);
    let (tx, mut outgoing) = mpsc::channel(LINK_QUEUE_LEN);
    if replica
        .cast(Msg::PeerConnected(id, PeerLink { tx }))
        .is_err()
    {
        return;
    }
    replica_links.insert(link.clone());
    loop {
        let message = tokio::select! {
            message = outgoing.recv() => message,
            incoming = rx.recv() => match incoming {
                Some(_) => continue,
                None => None,
            },
        };
        let Some(message) = message else { break };
        let body = Body::Quorum(codec::encode(message));
        if link.send(body).await.is_err() {
            break;
        }
    }
    drop(outgoing);
    link.close();
    replica_links.remove_closed(&link.peer().name);
    // The replica may have stopped already.
    let _ = replica.cast(Msg::PeerDisconnected(id));
}
