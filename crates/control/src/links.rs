//! Links accepted from other processes.

use crate::codec;
use crate::gossip::Gossip;
use crate::peers::{Direction, PeerLink};
use crate::replica::{Msg, Request};
use crate::reply::Reply;
use prometheus_client::metrics::counter::Counter;
use quorum::DiskId;
use ractor::ActorRef;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio_util::sync::CancellationToken;
use wire::proto::QuorumMessage;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, Role};

/// Maximum number of concurrent connections; more wait in the listener's backlog.
const MAX_CONNECTIONS: usize = 4096;
/// Maximum number of concurrent handshakes. When all nodes of a large deployment
/// connect at once, most of them wait in the listener's backlog, instead of all
/// handshakes running into their timeouts together.
const MAX_HANDSHAKES: usize = 64;
/// Maximum number of requests of nodes that wait for the replica's actor. Messages of
/// other replicas wait behind them.
const MAX_QUEUED_REQUESTS: usize = 16;
/// Maximum number of messages of a replica that wait to be merged into the state of
/// targets and entries.
const MAX_QUEUED_SIGHTINGS: usize = 64;
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
    /// Runtime on which the links of other replicas are served.
    pub(crate) log_runtime: Handle,
    pub(crate) requests: Arc<Semaphore>,
    pub(crate) stop: CancellationToken,
}

/// Returns the limit on the requests of nodes that wait for the replica's actor.
pub(crate) fn request_limit() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(MAX_QUEUED_REQUESTS))
}

impl Acceptor {
    /// Accepts links until `stop` is cancelled.
    pub(crate) async fn run(self, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        let handshakes = Arc::new(Semaphore::new(MAX_HANDSHAKES));
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = accept(&listener, &permits, &handshakes) => accepted,
            };
            let Some(accepted) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            tokio::spawn(self.clone().serve(accepted));
        }
    }

    async fn serve(self, accepted: Accepted) {
        let Accepted {
            stream,
            connection,
            handshake,
        } = accepted;
        let address = stream.peer_addr();
        let runtime_for = |peer: &Identity| match peer.role {
            Role::Control => self.log_runtime.clone(),
            _ => Handle::current(),
        };
        let link = wire::accept_on(stream, &self.identity, &self.key, &self.cfg, runtime_for).await;
        drop(handshake);
        match link {
            Ok((link, rx)) if link.peer().role == Role::Control => {
                let sightings = self.spawn_sightings();
                let log_runtime = self.log_runtime.clone();
                log_runtime.spawn(async move {
                    self.serve_replica(link, rx, sightings).await;
                    drop(connection);
                });
            }
            Ok((link, rx)) => {
                self.serve_node(link, rx).await;
                drop(connection);
            }
            Err(e) => {
                log::warn!("refused connection from {address:?}: {e}");
                self.links_refused.inc();
            }
        }
    }

    /// Serves the link of another replica, on the runtime of the log.
    async fn serve_replica(
        self,
        link: Link,
        mut rx: mpsc::Receiver<Incoming>,
        sightings: mpsc::Sender<Incoming>,
    ) {
        let id = DiskId(link.peer().incarnation);
        let (peer_link, sender) = PeerLink::spawn(link.clone(), &self.log_runtime);
        let connected = Msg::PeerConnected(id, Direction::Accepted, peer_link);
        // If the replica has stopped, the loop ends.
        let _ = self.replica.cast(connected);
        loop {
            let incoming = tokio::select! {
                () = self.stop.cancelled() => break,
                incoming = rx.recv() => incoming,
            };
            let Some(incoming) = incoming else { break };
            if matches!(incoming.body, Body::Sightings(_)) {
                // A message that does not fit is lost, as on a link that breaks.
                if sightings.try_send(incoming).is_err() {
                    log::debug!("dropped sightings of {}", link.peer().name);
                }
                continue;
            }
            if let Some(msg) = replica_msg(incoming, None)
                && self.replica.cast(msg).is_err()
            {
                break;
            }
        }
        drop(sender);
        link.close();
        let _ = self.replica.cast(Msg::PeerDisconnected(id));
    }

    /// Starts a task on the current runtime that merges the sightings of a replica.
    fn spawn_sightings(&self) -> mpsc::Sender<Incoming> {
        let (tx, mut rx) = mpsc::channel::<Incoming>(MAX_QUEUED_SIGHTINGS);
        let gossip = self.gossip.clone();
        tokio::spawn(async move {
            while let Some(Incoming { call, body, link }) = rx.recv().await {
                if let Body::Sightings(sightings) = body {
                    gossip.handle_sightings(sightings, call, &link).await;
                }
            }
        });
        tx
    }

    async fn serve_node(self, link: Link, mut rx: mpsc::Receiver<Incoming>) {
        // If the replica has stopped, the link is closed below.
        let _ = self.replica.cast(Msg::NodeConnected(link.clone()));
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
                Body::Quorum(_) => replica_msg(incoming, None),
                _ => {
                    let permit = Arc::clone(&self.requests).acquire_owned().await;
                    replica_msg(incoming, permit.ok())
                }
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

/// An accepted connection before its handshake.
struct Accepted {
    stream: TcpStream,
    /// Held until the connection is closed.
    connection: OwnedSemaphorePermit,
    /// Held until the handshake is completed.
    handshake: OwnedSemaphorePermit,
}

async fn accept(
    listener: &TcpListener,
    connections: &Arc<Semaphore>,
    handshakes: &Arc<Semaphore>,
) -> Option<Accepted> {
    let connection = Arc::clone(connections).acquire_owned().await.ok()?;
    let handshake = Arc::clone(handshakes).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some(Accepted {
            stream,
            connection,
            handshake,
        }),
        Err(e) => {
            log::warn!("cannot accept a connection: {e}");
            None
        }
    }
}

/// Converts a message that the replica's actor handles; `None` if it is not valid.
fn replica_msg(incoming: Incoming, permit: Option<OwnedSemaphorePermit>) -> Option<Msg> {
    let Incoming { call, body, link } = incoming;
    if let Body::Quorum(message) = body {
        return quorum_msg(message, &link);
    }
    let from = link.peer().name.clone();
    let reply = Reply::Remote(link, call);
    let request = match body {
        Body::Renew(renew) => Request::Renew(Box::new(renew), reply),
        Body::RenewBatch(batch) => Request::RenewBatch(batch, reply),
        Body::FetchNotes(fetch) => Request::Notes(fetch, reply),
        Body::Propose(propose) => Request::Propose(propose, reply),
        Body::Query(query) => Request::Query(query, reply),
        _ => {
            log::warn!("ignored an unexpected message from {from}");
            return None;
        }
    };
    Some(Msg::Request(Box::new(request), permit))
}

/// Accepts a replica's message only if it comes from the replica's own disk: otherwise
/// a vote could be counted for a disk that did not cast it.
pub(crate) fn quorum_msg(message: QuorumMessage, link: &Link) -> Option<Msg> {
    let peer = link.peer();
    let is_sender = peer.role == Role::Control && message.from == peer.incarnation;
    let knows_compressed = message.knows_compressed;
    match codec::decode(message) {
        Ok(message) if is_sender => Some(Msg::Peer(Box::new(message), knows_compressed)),
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
