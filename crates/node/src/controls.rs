//! The links to the control replicas, and which of them leads.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use wire::Link;

/// The links that are up, and who was last said to lead.
///
/// A node that renews through another one needs them only when it asks for something
/// else, so they are dialled then and closed again: a thousand links cost the leader
/// more than the renewals do.
pub(crate) struct Controls {
    state: Mutex<State>,
    up: Notify,
    wanted: watch::Sender<bool>,
    /// Where replicas answer that the settings don't name, as others told.
    found: watch::Sender<BTreeSet<SocketAddr>>,
}

/// Replicas that are dialled beside those of the settings, at most: as many as a
/// cluster may have.
const MOST_FOUND: usize = 9;

#[derive(Default)]
struct State {
    links: BTreeMap<SocketAddr, Link>,
    leader: Option<String>,
    turn: usize,
    /// Questions that wait for an answer.
    asking: usize,
    /// When the last one ended.
    used: Option<Instant>,
}

impl State {
    fn next(&mut self) -> Option<Link> {
        let count = self.links.len();
        if count == 0 {
            return None;
        }
        self.turn = (self.turn + 1) % count;
        self.links.values().nth(self.turn).cloned()
    }
}

/// Somebody asks; the links are held until this is dropped.
pub(crate) struct Asking<'a>(&'a Controls);

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.asking -= 1;
        state.used = Some(Instant::now());
    }
}

impl Default for Controls {
    fn default() -> Self {
        Controls {
            state: Mutex::default(),
            up: Notify::new(),
            wanted: watch::Sender::new(true),
            found: watch::Sender::default(),
        }
    }
}

impl Controls {
    /// Whether the links are to be held, as that changes.
    pub(crate) fn wanted(&self) -> watch::Receiver<bool> {
        self.wanted.subscribe()
    }

    /// Has the links dialled and held.
    pub(crate) fn asking(&self) -> Asking<'_> {
        let mut state = self.state();
        state.asking += 1;
        self.wanted
            .send_if_modified(|wanted| !std::mem::replace(wanted, true));
        Asking(self)
    }

    /// Closes the links if nobody has used them for `linger`.
    pub(crate) fn release(&self, now: Instant, linger: Duration) {
        // Under the lock, so that nobody asks in between.
        let mut state = self.state();
        let idle = state
            .used
            .is_none_or(|used| now.saturating_duration_since(used) >= linger);
        if state.asking > 0 || !idle {
            return;
        }
        self.wanted
            .send_if_modified(|wanted| std::mem::replace(wanted, false));
        for link in std::mem::take(&mut state.links).into_values() {
            link.close();
        }
    }

    pub(crate) fn add(&self, address: SocketAddr, link: Link) {
        self.state().links.insert(address, link);
        self.up.notify_waiters();
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        self.state().links.remove(&address);
    }

    /// Where replicas answer that the settings don't name, as that grows.
    pub(crate) fn found(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.found.subscribe()
    }

    /// Takes in where the leader answers. One that has a link already may be known
    /// under another address.
    ///
    /// Settings name a few replicas only. While another one leads, a node that
    /// didn't dial it could have nothing decided: a group whose ranks wait for a
    /// decision would stand still for as long.
    pub(crate) fn find(&self, leader: &str, address: &str) {
        let Ok(address) = address.parse() else {
            return;
        };
        if self.found.receiver_count() == 0 {
            // The settings name all replicas.
            return;
        }
        let state = self.state();
        let linked = state.links.values().any(|link| link.peer().name == leader);
        drop(state);
        if linked {
            return;
        }
        self.found.send_if_modified(|found| {
            let news = found.len() < MOST_FOUND && found.insert(address);
            if news {
                log::info!(replica = leader, address:display = address; "the leader is one more replica");
            }
            news
        });
    }

    /// Remembers who leads, by name: the address that a replica advertises need not
    /// be the one that this node dials.
    pub(crate) fn set_leader(&self, name: Option<String>) {
        self.state().leader = name;
    }

    /// The leader's link where it is known, else the replicas in turn.
    pub(crate) fn pick(&self) -> Option<Link> {
        let mut state = self.state();
        state.links.retain(|_, link| !link.is_closed());
        let leader = state.leader.clone();
        let known = state
            .links
            .values()
            .find(|link| Some(&link.peer().name) == leader.as_ref());
        if let Some(link) = known {
            return Some(link.clone());
        }
        state.next()
    }

    /// The replicas in turn, whoever leads.
    pub(crate) fn next(&self) -> Option<Link> {
        let mut state = self.state();
        state.links.retain(|_, link| !link.is_closed());
        state.next()
    }

    /// Resolves when another link is up.
    pub(crate) async fn more(&self) {
        self.up.notified().await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
