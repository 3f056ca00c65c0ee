//! Links that others dial.

use crate::codec;
use crate::hub::Hub;
use crate::replica::{Ask, Msg};
use crate::reply::Reply;
use prometheus_client::metrics::counter::Counter;
use quorum::DiskId;
use ractor::ActorRef;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use wire::proto::QuorumMessage;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, Role};

/// Connections at a time; more wait in the listener.
const MOST_CONNECTIONS: usize = 4096;
/// Pause after an accept that failed, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What each accepted link needs.
#[derive(Clone)]
pub(crate) struct Acceptor {
    pub(crate) me: Identity,
    pub(crate) key: ClusterKey,
    pub(crate) cfg: LinkSettings,
    pub(crate) replica: ActorRef<Msg>,
    pub(crate) hub: Hub,
    pub(crate) links_refused: Counter,
    pub(crate) stop: CancellationToken,
}

impl Acceptor {
    /// Accepts until stopped.
    pub(crate) async fn run(self, listener: TcpListener) {
        let places = Arc::new(Semaphore::new(MOST_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = accept(&listener, &places) => accepted,
            };
            let Some((stream, place)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let acceptor = self.clone();
            tokio::spawn(async move {
                acceptor.serve(stream).await;
                drop(place);
            });
        }
    }

    async fn serve(self, stream: TcpStream) {
        let from = stream.peer_addr();
        match wire::accept(stream, &self.me, &self.key, &self.cfg).await {
            Ok((link, rx)) => self.serve_link(link, rx).await,
            Err(e) => {
                log::warn!("connection from {from:?} refused: {e}");
                self.links_refused.inc();
            }
        }
    }

    async fn serve_link(self, link: Link, mut rx: mpsc::Receiver<Incoming>) {
        if link.peer().role != Role::Control {
            // A replica that stops closes the link below.
            let _ = self.replica.cast(Msg::NodeUp(link.clone()));
        }
        loop {
            let incoming = tokio::select! {
                () = self.stop.cancelled() => break,
                incoming = rx.recv() => incoming,
            };
            let Some(incoming) = incoming else { break };
            let msg = match incoming.body {
                Body::Report(report) => {
                    self.hub.report(report, incoming.call, &link).await;
                    continue;
                }
                Body::Sightings(told) => {
                    self.hub.take(told, incoming.call, &link).await;
                    continue;
                }
                _ => take(incoming),
            };
            if let Some(msg) = msg
                && self.replica.cast(msg).is_err()
            {
                break;
            }
        }
        link.close();
    }
}

async fn accept(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, place)),
        Err(e) => {
            log::warn!("accepting a link failed: {e}");
            None
        }
    }
}

fn take(incoming: Incoming) -> Option<Msg> {
    let Incoming { call, body, link } = incoming;
    if let Body::Quorum(message) = body {
        return replica_message(message, &link);
    }
    let from = link.peer().name.clone();
    let reply = Reply::Remote(link, call);
    Some(Msg::Ask(Box::new(match body {
        Body::Renew(renew) => Ask::Renew(renew, reply),
        Body::RenewBatch(batch) => Ask::RenewBatch(batch, reply),
        Body::FetchNotes(fetch) => Ask::Notes(fetch, reply),
        Body::Propose(propose) => Ask::Propose(propose, reply),
        Body::Query(query) => Ask::Query(query, reply),
        _ => {
            log::warn!("unexpected message from {from}");
            return None;
        }
    })))
}

/// A replica speaks for its own disk only: a vote under another identity
/// would count for a disk that never gave it.
fn replica_message(message: QuorumMessage, link: &Link) -> Option<Msg> {
    let peer = link.peer();
    let own = peer.role == Role::Control && message.from == peer.incarnation;
    match codec::decode(message) {
        Ok(message) if own => Some(Msg::Peer(Box::new(message))),
        Ok(_) => {
            log::warn!("{} sent a message of another replica", peer.name);
            None
        }
        Err(e) => {
            log::warn!("malformed message from {}: {e}", peer.name);
            None
        }
    }
}

/// The disk behind a replica's link.
pub(crate) fn disk_identity(disk: u64, name: &str) -> (DiskId, Identity) {
    (DiskId(disk), Identity::new(Role::Control, name, disk))
}
