//! The links to the control replicas and the name of the leader.

use crate::replica_addresses::ReplicaAddresses;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};
use wire::{Link, addresses_digest};

/// The open links to control replicas and the last known leader.
///
/// A node that renews through a relay needs these links only for other requests. They
/// are opened for those and closed afterwards, because a thousand idle links cost the
/// leader more than the renewals.
pub(crate) struct ControlLinks {
    state: Mutex<State>,
    link_added: Notify,
    wanted: watch::Sender<bool>,
    /// Whether replicas name each other, as the settings do not name all of them.
    follows_members: bool,
    /// Addresses that replicas have named.
    named: watch::Sender<ReplicaAddresses>,
}

#[derive(Default)]
struct State {
    links: BTreeMap<SocketAddr, Link>,
    leader: Option<String>,
    /// Position of the round-robin selection.
    cursor: usize,
    /// Number of requests that use the links.
    users: usize,
    /// When the last request ended.
    last_used: Option<Instant>,
}

impl State {
    fn next(&mut self) -> Option<Link> {
        let count = self.links.len();
        if count == 0 {
            return None;
        }
        self.cursor = (self.cursor + 1) % count;
        self.links.values().nth(self.cursor).cloned()
    }
}

/// Keeps the links open until it is dropped.
pub(crate) struct LinksGuard<'a>(&'a ControlLinks);

impl Drop for LinksGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.users -= 1;
        state.last_used = Some(Instant::now());
    }
}

impl ControlLinks {
    pub(crate) fn new(follows_members: bool) -> Self {
        ControlLinks {
            state: Mutex::default(),
            link_added: Notify::new(),
            wanted: watch::Sender::new(true),
            follows_members,
            named: watch::Sender::default(),
        }
    }

    /// Subscribes to whether the links should be open.
    pub(crate) fn wanted(&self) -> watch::Receiver<bool> {
        self.wanted.subscribe()
    }

    /// Opens the links and keeps them open while the guard lives.
    pub(crate) fn hold_open(&self) -> LinksGuard<'_> {
        let mut state = self.state();
        state.users += 1;
        self.wanted
            .send_if_modified(|wanted| !std::mem::replace(wanted, true));
        LinksGuard(self)
    }

    /// Closes the links if they have not been used for `min_idle`.
    pub(crate) fn close_if_idle(&self, now: Instant, min_idle: Duration) {
        // Holds the lock until the links are closed, so that no request starts meanwhile.
        let mut state = self.state();
        let idle = state
            .last_used
            .is_none_or(|last_used| now.saturating_duration_since(last_used) >= min_idle);
        if state.users > 0 || !idle {
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
        self.link_added.notify_waiters();
    }

    /// Closes a link and removes it, unless it has been replaced.
    pub(crate) fn remove(&self, address: SocketAddr, link: &Link) {
        link.close();
        let mut state = self.state();
        if state.links.get(&address).is_some_and(|l| l.is_same(link)) {
            state.links.remove(&address);
        }
    }

    /// Subscribes to the addresses that replicas have named.
    pub(crate) fn named(&self) -> watch::Receiver<ReplicaAddresses> {
        self.named.subscribe()
    }

    /// Digest of the replicas that a leader has named; `None` if they are not followed.
    pub(crate) fn members_digest(&self) -> Option<u64> {
        let digest = || addresses_digest(self.named.borrow().members());
        self.follows_members.then(digest)
    }

    /// Applies the replicas that a leader names in its answer to a renewal, or none if it
    /// need not name them.
    ///
    /// Without them a node would lose control once the replicas in its settings are
    /// replaced, and its group would wait for a decision for good.
    pub(crate) fn update_members(&self, replicas: &[String]) {
        if !self.follows_members {
            return;
        }
        let members: BTreeSet<SocketAddr> =
            replicas.iter().filter_map(|a| a.parse().ok()).collect();
        self.named.send_if_modified(|named| {
            let has_changed = named.update_members(members);
            if has_changed {
                log::info!(replicas:? = named.members(); "control replicas have changed");
            }
            has_changed
        });
    }

    /// Adds the address of the leader unless there is a link to it, possibly at another
    /// address.
    ///
    /// Settings may name only a few replicas. While another one leads, a node without a
    /// link to it could not get any command committed, and a group whose ranks wait for
    /// a decision would be blocked for that time.
    pub(crate) fn add_leader_address(&self, leader: &str, address: &str) {
        let Ok(address) = address.parse() else {
            return;
        };
        if !self.follows_members {
            return;
        }
        let state = self.state();
        let linked = state.links.values().any(|link| link.peer().name == leader);
        drop(state);
        if linked {
            return;
        }
        self.named.send_if_modified(|named| {
            let is_new = named.add_leader(address);
            if is_new {
                log::info!(replica = leader, address:display = address; "discovered a leader that is not in the settings");
            }
            is_new
        });
    }

    /// Sets the name of the leader. The leader is identified by name because the address
    /// that a replica advertises may differ from the one that this node dials.
    pub(crate) fn set_leader(&self, name: Option<String>) {
        self.state().leader = name;
    }

    /// Returns the link to the leader if there is one, or else to the next replica in
    /// round-robin order.
    pub(crate) fn leader_or_next(&self) -> Option<Link> {
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

    /// Returns the link to the next replica in round-robin order.
    pub(crate) fn next(&self) -> Option<Link> {
        let mut state = self.state();
        state.links.retain(|_, link| !link.is_closed());
        state.next()
    }

    /// Waits until a link is added.
    pub(crate) async fn link_added(&self) {
        self.link_added.notified().await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
