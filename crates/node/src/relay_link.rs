//! The link to the relay that this node renews through.

use crate::route_tables::{parse_reply, table_query};
use crate::shared::Shared;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::frame::Body;
use wire::proto::{FetchNotes, Notes, Renew, Renewed, RouteTable};
use wire::{Incoming, Link, redial};

/// Number of renewal intervals for which a failed relay is not used.
const BACKOFF_RENEWALS: u32 = 10;

/// The link to the relay that this node renews through, if there is one.
#[derive(Default)]
pub(crate) struct RelayLink {
    current: Mutex<Option<CurrentRelay>>,
}

struct CurrentRelay {
    relay: Relay,
    link: watch::Receiver<Option<Link>>,
    /// Set after a failure: the relay is not used until then.
    unused_until: Option<Instant>,
    /// Stops dialling when dropped.
    _stop: DropGuard,
}

/// The relay of renewals: a node and its incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Relay {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) address: std::net::SocketAddr,
}

impl RelayLink {
    /// Switches to another relay, or to none, and closes the link to the previous one.
    pub(crate) fn switch_to(&self, shared: &Arc<Shared>, relay: Option<Relay>) {
        let mut current = self.current();
        if current.as_ref().map(|current| &current.relay) == relay.as_ref() {
            return;
        }
        *current = relay.map(|relay| dial(shared, relay));
    }

    /// Renews through the relay. Returns `None` if that is currently not possible; the
    /// caller then renews directly, within the same lease.
    ///
    /// The relay may have failed, hang, be slow or have no connection to control. The
    /// time-out is three quarters of the renewal interval; afterwards the relay is not used for a
    /// while. Its nodes detect the failure at the same time, so each waits for a random
    /// time before it continues, to keep them from all reaching the leader at once.
    pub(crate) async fn renew(&self, shared: &Shared, renew: &Renew) -> Option<Renewed> {
        let link = self.link(Instant::now())?;
        let timeout = shared.renew_interval() * 3 / 4;
        if let Ok(Body::Renewed(renewed)) = link.call(Body::Renew(renew.clone()), timeout).await {
            return Some(renewed);
        }
        self.mark_failed(&link, shared.renew_interval() * BACKOFF_RENEWALS);
        tokio::time::sleep(timeout.mul_f64(rand::random_range(0.0..1.0))).await;
        None
    }

    /// Fetches release notes through the relay. Returns `None` if it cannot provide them.
    pub(crate) async fn fetch(&self, after: u64, within: Duration) -> Option<Notes> {
        let link = self.link(Instant::now())?;
        match link
            .call(Body::FetchNotes(FetchNotes { after }), within)
            .await
        {
            Ok(Body::Notes(notes)) => Some(notes),
            _ => None,
        }
    }

    /// Fetches a route table through the relay. Returns `None` if it cannot provide one.
    pub(crate) async fn route_table(&self, within: Duration) -> Option<RouteTable> {
        let link = self.link(Instant::now())?;
        parse_reply(link.call(table_query(), within).await.ok()?)
    }

    /// Name of the relay that is currently used.
    pub(crate) fn name(&self) -> Option<String> {
        self.link(Instant::now())
            .map(|link| link.peer().name.clone())
    }

    /// Whether a relay is currently used.
    pub(crate) fn is_up(&self) -> bool {
        self.link(Instant::now()).is_some()
    }

    fn link(&self, now: Instant) -> Option<Link> {
        let current = self.current();
        let current = current.as_ref()?;
        if current.unused_until.is_some_and(|until| now < until) {
            return None;
        }
        let link = current.link.borrow().clone();
        link.filter(|link| !link.is_closed())
    }

    fn mark_failed(&self, link: &Link, backoff: Duration) {
        link.close();
        if let Some(current) = self.current().as_mut() {
            let backoff = backoff.mul_f64(rand::random_range(0.5..1.5));
            current.unused_until = Some(Instant::now() + backoff);
        }
    }

    fn current(&self) -> MutexGuard<'_, Option<CurrentRelay>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn dial(shared: &Arc<Shared>, relay: Relay) -> CurrentRelay {
    let (tx, link) = watch::channel(None);
    let stop = CancellationToken::new();
    let (me, key) = (shared.me.clone(), shared.cfg.key.clone());
    let cfg = shared.cfg.link.clone();
    let (served, expected) = (Arc::clone(shared), relay.clone());
    let tx = Arc::new(tx);
    let dialled = redial(relay.address, me, key, cfg, move |link, rx| {
        serve(
            Arc::clone(&served),
            Arc::clone(&tx),
            expected.clone(),
            link,
            rx,
        )
    });
    let ended = shared.stop.clone();
    let stopped = stop.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = dialled => {}
            () = ended.cancelled() => {}
            () = stopped.cancelled() => {}
        }
    });
    CurrentRelay {
        relay,
        link,
        unused_until: None,
        _stop: stop.drop_guard(),
    }
}

async fn serve(
    shared: Arc<Shared>,
    tx: Arc<watch::Sender<Option<Link>>>,
    expected: Relay,
    link: Link,
    mut rx: mpsc::Receiver<Incoming>,
) {
    let peer = link.peer();
    if (&peer.name, peer.incarnation) == (&expected.name, expected.incarnation) {
        tx.send_replace(Some(link.clone()));
        if shared.named_relay().is_some() {
            // This node has no current view until it has renewed through the relay.
            shared.renew_early.notify_one();
        }
    }
    while let Some(incoming) = rx.recv().await {
        // The relay forwards hints of control; other messages are ignored.
        shared.handle_hint(&incoming.body);
    }
    tx.send_replace(None);
}
