//! Links to the other replicas.

use crate::asker::Asker;
use crate::codec;
use crate::replica::Msg;
use crate::replicas::Replicas;
use quorum::{DiskId, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, Role};

/// Messages that wait for a link. What doesn't fit is dropped, as on a lossy
/// network; the log sends it again.
const QUEUE: usize = 1024;

/// The links that are up, by the disk of the replica behind them.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    links: BTreeMap<DiskId, PeerLink>,
}

/// A link that is up.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    tx: mpsc::Sender<Message>,
}

impl Peers {
    pub(crate) fn up(&mut self, id: DiskId, link: PeerLink) {
        self.links.insert(id, link);
    }

    /// Forgets a link, unless a newer one has taken its place.
    pub(crate) fn down(&mut self, id: DiskId) {
        if self.links.get(&id).is_some_and(|link| link.tx.is_closed()) {
            self.links.remove(&id);
        }
    }

    pub(crate) fn send(&self, message: Message) {
        if let Some(link) = self.links.get(&message.to) {
            // Full or just gone: the log sends again what isn't answered.
            let _ = link.tx.try_send(message);
        }
    }

    /// Whether the link to that replica is up.
    pub(crate) fn is_up(&self, id: DiskId) -> bool {
        self.links.get(&id).is_some_and(|link| !link.tx.is_closed())
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = DiskId> {
        self.links.keys().copied()
    }
}

/// Keeps a link to another replica until the replica stops.
pub(crate) async fn keep(
    address: SocketAddr,
    me: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    asker: Asker,
) {
    wire::redial(address, me, key, cfg, move |link, rx| {
        serve(link, rx, asker.clone())
    })
    .await;
}

/// Keeps links to the seeds and to all members, as both change.
pub(crate) async fn keep_all(
    mut seeds: watch::Receiver<Vec<SocketAddr>>,
    mut replicas: watch::Receiver<Replicas>,
    own: SocketAddr,
    keep_one: impl Fn(SocketAddr) -> AbortOnDropHandle<()>,
) {
    let mut kept: BTreeMap<SocketAddr, AbortOnDropHandle<()>> = BTreeMap::new();
    loop {
        let mut wanted: BTreeSet<SocketAddr> = seeds.borrow_and_update().iter().copied().collect();
        wanted.extend(replicas.borrow_and_update().addresses.iter());
        wanted.remove(&own);
        kept.retain(|address, _| wanted.contains(address));
        for address in wanted {
            kept.entry(address).or_insert_with(|| keep_one(address));
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

async fn serve(link: Link, mut rx: mpsc::Receiver<Incoming>, asker: Asker) {
    let Asker { replica, directory } = asker;
    let peer = link.peer();
    if peer.role != Role::Control {
        log::error!("{} is no control replica, see settings", peer.name);
        return;
    }
    let id = DiskId(peer.incarnation);
    let (tx, mut outgoing) = mpsc::channel(QUEUE);
    if replica.cast(Msg::PeerUp(id, PeerLink { tx })).is_err() {
        return;
    }
    directory.up(link.clone());
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
    directory.down(&link.peer().name);
    // The replica may be gone already.
    let _ = replica.cast(Msg::PeerDown(id));
}
