//! An incarnation of an agent and the connection to it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use wire::Link;
use wire::proto::frame::Body;

/// An incarnation of an agent.
///
/// The connection may be lost and re-established; attempts watch [`Agent::link`] and
/// reattach. `ended` is cancelled once the incarnation is known to have ended, which
/// fails all its attempts. The connection is kept only while it is needed: because the
/// agent belongs to the subset of the entry, or for an attempt at this agent.
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

/// Receivers of the frames of each attempt. An attempt can have several: a call that is
/// sent again joins the running attempt.
#[derive(Debug, Default)]
struct Subscriptions {
    by_attempt: BTreeMap<Bytes, BTreeMap<SubscriptionId, mpsc::UnboundedSender<Body>>>,
    next_id: u64,
    /// When the connection was last requested or used.
    last_used: Option<Instant>,
}

/// Identifies a receiver of the frames of an attempt.
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

    /// Watches the connection.
    pub(crate) fn link(&self) -> watch::Receiver<Option<Link>> {
        self.link.subscribe()
    }

    /// Returns the connection if it is up.
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

    /// Watches whether the connection is needed.
    pub(super) fn link_wanted(&self) -> watch::Receiver<bool> {
        self.link_wanted.subscribe()
    }

    /// Requests that the connection is established and kept.
    pub(super) fn request_link(&self) {
        let mut subscriptions = self.subscriptions();
        subscriptions.last_used = Some(Instant::now());
        self.link_wanted
            .send_if_modified(|link_wanted| !std::mem::replace(link_wanted, true));
    }

    /// Gives up the connection if it has been unused for `idle_timeout` and no attempt
    /// uses it. The timeout gives a request that has just selected the target time to
    /// use it.
    pub(super) fn release_if_idle(&self, now: Instant, idle_timeout: Duration) {
        // The lock is held so that no request for the connection comes in between.
        let subscriptions = self.subscriptions();
        let last_used = subscriptions.last_used.unwrap_or(now);
        let idle = subscriptions.by_attempt.is_empty();
        if idle && now.saturating_duration_since(last_used) >= idle_timeout {
            self.link_wanted
                .send_if_modified(|link_wanted| std::mem::replace(link_wanted, false));
        }
    }

    /// Closes the connection, if there is one.
    pub(super) fn close_link(&self) {
        if let Some(link) = self.link.send_replace(None) {
            link.close();
        }
    }

    /// Waits until the connection is up, at most for `timeout`. Requests the connection
    /// if the agent does not belong to the subset of the entry.
    pub(crate) async fn wait_for_link(&self, timeout: Duration) -> Option<Link> {
        self.request_link();
        let mut link = self.link();
        let connected = link.wait_for(|link| link.as_ref().is_some_and(|link| !link.is_closed()));
        tokio::select! {
            () = self.ended.cancelled() => None,
            link = tokio::time::timeout(timeout, connected) => link.ok()?.ok()?.clone(),
        }
    }

    /// Subscribes to the frames of an attempt.
    ///
    /// The channel is unbounded, as an agent sends at most one window of bytes beyond
    /// the acknowledged offset.
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

    /// Delivers a frame to the subscribers of its attempt. Frames of ended attempts,
    /// which can arrive late or again after a reconnect, are dropped.
    pub(crate) fn dispatch(&self, attempt: &Bytes, frame: &Body) {
        if let Some(by_attempt) = self.subscriptions().by_attempt.get(attempt) {
            for tx in by_attempt.values() {
                // A receiver is dropped only together with its map entry.
                let _ = tx.send(frame.clone());
            }
        }
    }

    fn subscriptions(&self) -> MutexGuard<'_, Subscriptions> {
        // No code panics while it holds the lock, so a poisoned map is consistent.
        self.subscriptions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
