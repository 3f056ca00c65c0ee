//! The links to the control replicas, and which of them leads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use wire::Link;

/// The links that are up, and who was last said to lead.
#[derive(Default)]
pub(crate) struct Controls {
    state: Mutex<State>,
    up: Notify,
}

#[derive(Default)]
struct State {
    links: BTreeMap<SocketAddr, Link>,
    leader: Option<String>,
    turn: usize,
}

impl Controls {
    pub(crate) fn add(&self, address: SocketAddr, link: Link) {
        self.state().links.insert(address, link);
        self.up.notify_waiters();
    }

    pub(crate) fn remove(&self, address: SocketAddr) {
        self.state().links.remove(&address);
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
        let count = state.links.len();
        if count == 0 {
            return None;
        }
        state.turn = (state.turn + 1) % count;
        state.links.values().nth(state.turn).cloned()
    }

    /// Resolves when another link is up.
    pub(crate) async fn more(&self) {
        self.up.notified().await;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
