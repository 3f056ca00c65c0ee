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
    pub(crate) gone: CancellationToken,
    link: watch::Sender<Option<Link>>,
    wanted: watch::Sender<bool>,
    attempts: Mutex<Attempts>,
}

/// Who waits for the frames of each attempt. There may be several: a call
/// that is sent again joins the attempt that runs already.
#[derive(Debug, Default)]
struct Attempts {
    waiting: BTreeMap<Bytes, BTreeMap<Listener, mpsc::UnboundedSender<Body>>>,
    next: u64,
    /// When the connection was last asked for or used.
    used: Option<Instant>,
}

/// One of those who wait for the frames of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Listener(u64);

impl Agent {
    pub(crate) fn new(name: &str, incarnation: u64, address: SocketAddr) -> Self {
        Agent {
            name: name.to_owned(),
            incarnation,
            address,
            gone: CancellationToken::new(),
            link: watch::Sender::new(None),
            wanted: watch::Sender::new(false),
            attempts: Mutex::default(),
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

    pub(crate) fn is_up(&self) -> bool {
        self.current_link().is_some()
    }

    pub(crate) fn set_link(&self, link: Option<Link>) {
        self.link.send_replace(link);
    }

    /// Whether the connection is to be held, as that changes.
    pub(super) fn wanted(&self) -> watch::Receiver<bool> {
        self.wanted.subscribe()
    }

    /// Has the connection dialled and held.
    pub(super) fn want(&self) {
        let mut attempts = self.attempts();
        attempts.used = Some(Instant::now());
        self.wanted
            .send_if_modified(|wanted| !std::mem::replace(wanted, true));
    }

    /// Lets the connection go once nobody has used it for `linger`: what runs
    /// there finishes first, and who has just chosen the target still gets to it.
    pub(super) fn release(&self, now: Instant, linger: Duration) {
        // Under the lock, so that nobody asks for it in between.
        let attempts = self.attempts();
        let used = attempts.used.unwrap_or(now);
        let idle = attempts.waiting.is_empty();
        if idle && now.saturating_duration_since(used) >= linger {
            self.wanted
                .send_if_modified(|wanted| std::mem::replace(wanted, false));
        }
    }

    /// Ends the connection, if there is one.
    pub(super) fn close(&self) {
        if let Some(link) = self.link.send_replace(None) {
            link.close();
        }
    }

    /// The connection as soon as there is one, within a bound. It is dialled if the
    /// agent is not one of the entry's subset.
    pub(crate) async fn reach(&self, within: Duration) -> Option<Link> {
        self.want();
        let mut link = self.link();
        let up = link.wait_for(|link| link.as_ref().is_some_and(|link| !link.is_closed()));
        tokio::select! {
            () = self.gone.cancelled() => None,
            up = tokio::time::timeout(within, up) => up.ok()?.ok()?.clone(),
        }
    }

    /// Registers somebody who waits for the frames of an attempt.
    ///
    /// The channel has no bound of its own: an agent sends at most a window
    /// of bytes beyond what the attempt has acknowledged.
    pub(crate) fn enlist(&self, attempt: Bytes) -> (Listener, mpsc::UnboundedReceiver<Body>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut attempts = self.attempts();
        let listener = Listener(attempts.next);
        attempts.next += 1;
        let waiting = attempts.waiting.entry(attempt).or_default();
        waiting.insert(listener, tx);
        (listener, rx)
    }

    pub(crate) fn dismiss(&self, attempt: &Bytes, listener: Listener) {
        let mut attempts = self.attempts();
        attempts.used = Some(Instant::now());
        if let Some(waiting) = attempts.waiting.get_mut(attempt) {
            waiting.remove(&listener);
            if waiting.is_empty() {
                attempts.waiting.remove(attempt);
            }
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.attempts().waiting.is_empty()
    }

    /// Hands a frame to those who wait for its attempt. Frames of attempts
    /// that are over come late, or doubled after a fresh connection, and are
    /// dropped.
    pub(crate) fn route(&self, attempt: &Bytes, frame: &Body) {
        if let Some(waiting) = self.attempts().waiting.get(attempt) {
            for tx in waiting.values() {
                // The receiver goes only together with the entry in the map.
                let _ = tx.send(frame.clone());
            }
        }
    }

    fn attempts(&self) -> MutexGuard<'_, Attempts> {
        // Nothing panics under the lock; a poisoned map is whole.
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
