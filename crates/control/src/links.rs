//! Links accepted from other processes.

use crate::codec;
use crate::gossip::Gossip;
use crate::replica::{Msg, Request};
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

/// Maximum number of concurrent connections; more wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 4096;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts links and serves them.
#[derive(Clone)]
pub(crate) struct Acceptor {
    pub(crate) identity: Identity,
    pub(crate) key: ClusterKey,
    pub(crate) cfg: LinkSettings,
    pub(crate) replica: ActorRef<Msg>,
    pub(crate) gossip: Gossip,
    pub(crate) links_refused: Counter,
    pub(crate) stop: CancellationToken,
}

impl Acceptor {
    /// Accepts links until `stop` is cancelled.
    pub(crate) async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = accept(&listener, &permits) => accepted,
            };
            let Some((stream, permit)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let acceptor = self.clone();
            tokio::spawn(async move {
                acceptor.serve(stream).await;
                drop(permit);
            });
        }
    }

    async fn serve(self, stream: TcpStream) {
        let address = stream.peer_addr();
        match wire::accept(stream, &self.identity, &self.key, &self.cfg).await {
            Ok((link, rx)) => self.serve_link(link, rx).await,
            Err(e) => {
                log::warn!("refused connection from {address:?}: {e}");
                self.links_refused.inc();
            }
        }
    }

    async fn serve_link(self, link: Link, mut rx: mpsc::Receiver<Incoming>) {
        if link.peer().role != Role::Control {
            // If the replica has stopped, the link is closed below.
            let _ = self.replica.cast(Msg::NodeConnected(link.clone()));
        }
        loop {
            let incoming = tokio::select! {
                () = self.stop.cancelled() => break,
                incoming = rx.recv() => incoming,
            };
            let Some(incoming) = incoming else { break };
            let msg = match incoming.body {
                Body::Report(report) => {
                    self.gossip
                        .handle_report(report, incoming.call, &link)
                        .await;
                    continue;
                }
                Body::Sightings(sightings) => {
                    let call = incoming.call;
                    self.gossip.handle_sightings(sightings, call, &link).await;
                    continue;
                }
                _ => replica_msg(incoming),
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
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(e) => {
            log::warn!("cannot accept a connection: {e}");
            None
        }
    }
}

/// Converts a message that the replica's actor handles; `None` if it is not valid.
fn replica_msg(incoming: Incoming) -> Option<Msg> {
    let Incoming { call, body, link } = incoming;
    if let Body::Quorum(message) = body {
        return quorum_msg(message, &link);
    }
    let from = link.peer().name.clone();
    let reply = Reply::Remote(link, call);
    Some(Msg::Request(Box::new(match body {
        Body::Renew(renew) => Request::Renew(renew, reply),
        Body::RenewBatch(batch) => Request::RenewBatch(batch, reply),
        Body::FetchNotes(fetch) => Request::Notes(fetch, reply),
        Body::Propose(propose) => Request::Propose(propose, reply),
        Body::Query(query) => Request::Query(query, reply),
        _ => {
            log::warn!("ignored an unexpected message from {from}");
            return None;
        }
    })))
}

/// Accepts a replica's message only if it comes from the replica's own disk: otherwise
/// a vote could be counted for a disk that did not cast it.
fn quorum_msg(message: QuorumMessage, link: &Link) -> Option<Msg> {
    let peer = link.peer();
    let is_sender = peer.role == Role::Control && message.from == peer.incarnation;
    match codec::decode(message) {
        Ok(message) if is_sender => Some(Msg::Peer(Box::new(message))),
        Ok(_) => {
            log::warn!(
                "ignored a message that {} sent under another identity",
                peer.name
            );
            None
        }
        Err(e) => {
            log::warn!("ignored a malformed message from {}: {e}", peer.name);
            None
        }
    }
}

/// Returns the identity of a replica in the log and on links. Both use its disk.
pub(crate) fn replica_identity(disk: u64, name: &str) -> (DiskId, Identity) {
    (DiskId(disk), Identity::new(Role::Control, name, disk))
}
