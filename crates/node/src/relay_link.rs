//! The link to the node that this one renews through.

use crate::shared::Shared;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::frame::Body;
use wire::proto::{FetchNotes, Notes, Renew, Renewed};
use wire::{Incoming, Link, redial};

/// Renewal times for which a relay that failed is left alone.
const HOLD_RENEWALS: u32 = 10;

/// The link to the node that this one renews through, if there is one.
#[derive(Default)]
pub(crate) struct RelayLink {
    held: Mutex<Option<Held>>,
}

struct Held {
    relay: Relay,
    link: watch::Receiver<Option<Link>>,
    /// It failed and is left alone until then.
    until: Option<Instant>,
    _dialled: DropGuard,
}

/// Which run of which node renewals go through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Relay {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) address: std::net::SocketAddr,
}

impl RelayLink {
    /// Turns to a relay, or to none, and lets go of another one.
    pub(crate) fn turn_to(&self, shared: &Arc<Shared>, relay: Option<Relay>) {
        let mut held = self.held();
        if held.as_ref().map(|held| &held.relay) == relay.as_ref() {
            return;
        }
        *held = relay.map(|relay| dial(shared, relay));
    }

    /// Renews through the relay. `None` when that is not possible now: the caller
    /// renews straight, within the same lease.
    ///
    /// The relay may be dead, frozen, cut off from control or slow. It is given half of
    /// the time between two renewals; after that it is left alone for a while. Its
    /// nodes find out together, so each waits a moment of its own before it goes on:
    /// the leader would else hear from all of them at once.
    pub(crate) async fn renew(&self, shared: &Shared, renew: &Renew) -> Option<Renewed> {
        let link = self.link(Instant::now())?;
        let patience = shared.cfg.renew_interval / 2;
        if let Ok(Body::Renewed(renewed)) = link.call(Body::Renew(renew.clone()), patience).await {
            return Some(renewed);
        }
        self.fail(&link, shared.cfg.renew_interval * HOLD_RENEWALS);
        tokio::time::sleep(patience.mul_f64(rand::random_range(0.0..1.0))).await;
        None
    }

    /// Fetches notes through the relay, if it has them or gets them.
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

    /// Name of the relay that renewals go through now.
    pub(crate) fn name(&self) -> Option<String> {
        self.link(Instant::now())
            .map(|link| link.peer().name.clone())
    }

    /// Whether renewals go through a relay now.
    pub(crate) fn is_up(&self) -> bool {
        self.link(Instant::now()).is_some()
    }

    fn link(&self, now: Instant) -> Option<Link> {
        let held = self.held();
        let held = held.as_ref()?;
        if held.until.is_some_and(|until| now < until) {
            return None;
        }
        let link = held.link.borrow().clone();
        link.filter(|link| !link.is_closed())
    }

    fn fail(&self, link: &Link, hold: Duration) {
        link.close();
        if let Some(held) = self.held().as_mut() {
            let hold = hold.mul_f64(rand::random_range(0.5..1.5));
            held.until = Some(Instant::now() + hold);
        }
    }

    fn held(&self) -> MutexGuard<'_, Option<Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn dial(shared: &Arc<Shared>, relay: Relay) -> Held {
    let (tx, link) = watch::channel(None);
    let stop = CancellationToken::new();
    let (me, key) = (shared.me.clone(), shared.cfg.key.clone());
    let cfg = shared.cfg.link.clone();
    let (told, expected) = (Arc::clone(shared), relay.clone());
    let tx = Arc::new(tx);
    let kept = redial(relay.address, me, key, cfg, move |link, rx| {
        serve(
            Arc::clone(&told),
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
            () = kept => {}
            () = ended.cancelled() => {}
            () = stopped.cancelled() => {}
        }
    });
    Held {
        relay,
        link,
        until: None,
        _dialled: stop.drop_guard(),
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
    }
    while let Some(incoming) = rx.recv().await {
        // It passes on what control hints at; the rest is meant for others.
        shared.heed(&incoming.body);
    }
    tx.send_replace(None);
}
