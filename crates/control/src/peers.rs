//! Links to the other replicas.

use crate::codec;
use crate::entry_compressor::EntryCompressor;
use crate::leader_client::LeaderClient;
use crate::links;
use crate::replica::Msg;
use crate::replicas::Replicas;
use quorum::{DiskId, Entry, Members, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};
use tokio_util::task::AbortOnDropHandle;
use wire::proto::QuorumMessage;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, Role};

/// Maximum number of messages queued for a link. Excess messages are dropped, as on a
/// lossy network; the log protocol sends them again.
const LINK_QUEUE_LEN: usize = 1024;

/// Which of the two ends opened a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Direction {
    /// This replica.
    Dialed,
    /// The other replica, whose address this one need not know.
    Accepted,
}

/// Open links, by the disk of the peer replica.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    links: BTreeMap<(DiskId, Direction), PeerLink>,
    /// Replicas that understand compressed entries.
    compressing: BTreeSet<DiskId>,
    compressor: EntryCompressor,
}

/// An open link.
#[derive(Clone, Debug)]
pub(crate) struct PeerLink {
    tx: mpsc::Sender<QuorumMessage>,
}

impl PeerLink {
    /// Starts to send messages over a link, until the returned task is dropped.
    pub(crate) fn spawn(link: Link, runtime: &Handle) -> (PeerLink, AbortOnDropHandle<()>) {
        let (tx, mut messages) = mpsc::channel(LINK_QUEUE_LEN);
        let send = async move {
            while let Some(message) = messages.recv().await {
                if link.send(Body::Quorum(message)).await.is_err() {
                    break;
                }
            }
            link.close();
        };
        let sender = AbortOnDropHandle::new(runtime.spawn(send));
        (PeerLink { tx }, sender)
    }
}

impl Peers {
    pub(crate) fn insert(&mut self, id: DiskId, direction: Direction, link: PeerLink) {
        self.links.insert((id, direction), link);
    }

    /// Removes the closed links to a replica.
    pub(crate) fn remove_closed(&mut self, id: DiskId) {
        self.links
            .retain(|(other, _), link| *other != id || !link.tx.is_closed());
    }

    /// Records whether a replica understands compressed entries. Each of its messages tells,
    /// as it may be started again in another version.
    pub(crate) fn set_compression(&mut self, id: DiskId, knows_compressed: bool) {
        if knows_compressed {
            self.compressing.insert(id);
        } else {
            self.compressing.remove(&id);
        }
    }

    /// Sends a message over the link that this replica has opened. Only to a replica
    /// that is none of `members`, whose address is thus unknown, it goes over a link that
    /// the other one has opened.
    pub(crate) fn send(&mut self, message: Message, members: &Members) {
        let mut link = self.open(message.to, Direction::Dialed);
        if link.is_none() && !members.contains(message.to) {
            link = self.open(message.to, Direction::Accepted);
        }
        let Some(tx) = link.map(|link| link.tx.clone()) else {
            return;
        };
        let is_compressed = self.compressing.contains(&message.to);
        let compressor = &mut self.compressor;
        let compress = |entry: &Entry| is_compressed.then(|| compressor.compress(entry))?;
        // The queue is full or the link was just closed. The log protocol resends
        // messages that are not answered.
        let _ = tx.try_send(codec::encode(message, compress));
    }

    /// Returns whether the link that this replica has opened to another one is open.
    pub(crate) fn is_connected(&self, id: DiskId) -> bool {
        self.open(id, Direction::Dialed).is_some()
    }

    /// Returns the replicas to which a link is open.
    pub(crate) fn ids(&self) -> BTreeSet<DiskId> {
        let open = self.links.iter().filter(|(_, link)| !link.tx.is_closed());
        open.map(|((id, _), _)| *id).collect()
    }

    fn open(&self, id: DiskId, direction: Direction) -> Option<&PeerLink> {
        let link = self.links.get(&(id, direction))?;
        (!link.tx.is_closed()).then_some(link)
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
    let (peer_link, sender) = PeerLink::spawn(link.clone(), &Handle::current());
    let connected = Msg::PeerConnected(id, Direction::Dialed, peer_link);
    if replica.cast(connected).is_err() {
        return;
    }
    replica_links.insert(link.clone());
    while let Some(incoming) = rx.recv().await {
        // Only a replica that does not know this one's address sends messages here.
        if let Body::Quorum(message) = incoming.body
            && let Some(msg) = links::quorum_msg(message, &link)
            && replica.cast(msg).is_err()
        {
            break;
        }
    }
    drop(sender);
    link.close();
    replica_links.remove_closed(&link.peer().name);
    // The replica may have stopped already.
    let _ = replica.cast(Msg::PeerDisconnected(id));
}
