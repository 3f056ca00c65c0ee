//! One incarnation of an agent, and the connection to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wire::Link;
use wire::proto::frame::Body;

/// One incarnation of an agent.
///
/// The connection comes and goes beneath it; attempts watch [`Agent::link`]
/// and attach anew. Once the incarnation is known to be over, `gone` ends
/// whatever ran there. The connection is held only while the agent is wanted:
/// as one of the entry's subset, or by somebody who needs just this one.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) address: SocketAddr,
    pub(crate) ended: CancellationToken,
    link: watch::Sender<Option<Link>>,
    link_wanted: watch::Sender<bool>,
    subscriptions: Mutex<Subscriptions>,
}

/// Who waits for the frames of each attempt. There may be several: a call
/// that is sent again joins the attempt that runs already.
#[derive(Debug, Default)]
struct Subscriptions {
    by_attempt: BTreeMap<Bytes, BTreeMap<SubscriptionId, mpsc::UnboundedSender<Body>>>,
    next_id: u64,
    /// When the connection was last asked for or used.
    last_used: Option<Instant>,
}

/// One of those who wait for the frames of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SubscriptionId(u64);

impl Agent {
    pub(crate) fn new(name: &str, incarnation: u64, address: SocketAddr) -> Self {
        Agent {
            name: name.to_owned(),
            incarnation,
            address,
            ended: CancellationToken::new(),
            link: watch::Sender::new(None),
            link_wanted: watch::Sender::new(false),
            subscriptions: Mutex::default(),
        }
    }

    /// The connection, as it comes and goes.
    pub(crate) fn link(&self) -> watch::Receiver<Option<Link>> {
        self.link.subscribe()
    }

    /// The connection, if it is up now.
    pub(crate) fn current_link(&self) -> Option<Link> {
        let link = self.link.borrow();
        link.clone().filter(|link| !link.is_closed())
    }

    pub(crate) fn is_connected(&self) -> bool {
        self.current_link().is_some()
    }

    pub(crate) fn set_link(&self, link: Option<Link>) {
        self.link.send_replace(link);
    }

    /// Whether the connection is to be held, as that changes.
    pub(super) fn link_wanted(&self) -> watch::Receiver<bool> {
        self.link_wanted.subscribe()
    }

    /// Has the connection dialled and held.
    pub(super) fn request_link(&self) {
        let mut subscriptions = self.subscriptions();
        subscriptions.last_used = Some(Instant::now());
        self.link_wanted
            .send_if_modified(|link_wanted| !std::mem::replace(link_wanted, true));
    }

    /// Lets the connection go once nobody has used it for `linger`: what runs
    /// there finishes first, and who has just chosen the target still gets to it.
    pub(super) fn release_if_idle(&self, now: Instant, idle_timeout: Duration) {
        // Under the lock, so that nobody asks for it in between.
        let subscriptions = self.subscriptions();
        let last_used = subscriptions.last_used.unwrap_or(now);
        let idle = subscriptions.by_attempt.is_empty();
        if idle && now.saturating_duration_since(last_used) >= idle_timeout {
            self.link_wanted
                .send_if_modified(|link_wanted| std::mem::replace(link_wanted, false));
        }
    }

    /// Ends the connection, if there is one.
    pub(super) fn close_link(&self) {
        if let Some(link) = self.link.send_replace(None) {
            link.close();
        }
    }

    /// The connection as soon as there is one, within a bound. It is dialled if the
    /// agent is not one of the entry's subset.
    pub(crate) async fn wait_for_link(&self, timeout: Duration) -> Option<Link> {
        self.request_link();
        let mut link = self.link();
        let up = link.wait_for(|link| link.as_ref().is_some_and(|link| !link.is_closed()));
        tokio::select! {
            () = self.ended.cancelled() => None,
            up = tokio::time::timeout(timeout, up) => up.ok()?.ok()?.clone(),
        }
    }

    /// Registers somebody who waits for the frames of an attempt.
    ///
    /// The channel has no bound of its own: an agent sends at most a window
    /// of bytes beyond what the attempt has acknowledged.
    pub(crate) fn subscribe(
        &self,
        attempt: Bytes,
    ) -> (SubscriptionId, mpsc::UnboundedReceiver<Body>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut subscriptions = self.subscriptions();
        let subscription = SubscriptionId(subscriptions.next_id);
        subscriptions.next_id += 1;
        let by_attempt = subscriptions.by_attempt.entry(attempt).or_default();
        by_attempt.insert(subscription, tx);
        (subscription, rx)
    }

    pub(crate) fn unsubscribe(&self, attempt: &Bytes, subscription: SubscriptionId) {
        let mut subscriptions = self.subscriptions();
        subscriptions.last_used = Some(Instant::now());
        if let Some(by_attempt) = subscriptions.by_attempt.get_mut(attempt) {
            by_attempt.remove(&subscription);
            if by_attempt.is_empty() {
                subscriptions.by_attempt.remove(attempt);
            }
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.subscriptions().by_attempt.is_empty()
    }

    /// Hands a frame to those who wait for its attempt. Frames of attempts
    /// that are over come late, or doubled after a fresh connection, and are
    /// dropped.
    pub(crate) fn dispatch(&self, attempt: &Bytes, frame: &Body) {
        if let Some(by_attempt) = self.subscriptions().by_attempt.get(attempt) {
            for tx in by_attempt.values() {
                // The receiver goes only together with the entry in the map.
                let _ = tx.send(frame.clone());
            }
        }
    }

    fn subscriptions(&self) -> MutexGuard<'_, Subscriptions> {
        // Nothing panics under the lock; a poisoned map is whole.
        self.subscriptions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
