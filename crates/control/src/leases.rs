//! The nodes that hold a lease, as the leader knows them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};
use wire::proto::{MemberView, NodeInfo};

/// A run of a node: role, name, incarnation.
type NodeKey = (i32, String, u64);

#[derive(Debug)]
struct Held {
    info: NodeInfo,
    note: u64,
    until: Instant,
    /// Order in which the incarnations were first heard.
    order: u64,
}

/// The nodes that hold a lease, as the leader of one term knows them.
#[derive(Debug)]
pub(crate) struct Leases {
    term: u64,
    version: u64,
    length: Duration,
    /// From here on every lease of an earlier leader has run out.
    settled_at: Instant,
    settled: bool,
    nodes: BTreeMap<NodeKey, Held>,
    arrivals: u64,
}

impl Leases {
    /// The leases of a leader that begins now.
    pub(crate) fn new(term: u64, length: Duration, now: Instant) -> Leases {
        Leases {
            term,
            version: 1,
            length,
            settled_at: now + length,
            settled: false,
            nodes: BTreeMap::new(),
            arrivals: 0,
        }
    }

    pub(crate) fn term(&self) -> u64 {
        self.term
    }

    /// Grants a lease to a node at that note.
    pub(crate) fn renew(&mut self, info: NodeInfo, note: u64, now: Instant) {
        let key = (info.role, info.name.clone(), info.incarnation);
        let until = now + self.length;
        if let Some(held) = self.nodes.get_mut(&key) {
            held.until = until;
            held.note = note;
            if held.info != info {
                held.info = info;
                self.version += 1;
            }
            return;
        }
        self.arrivals += 1;
        let held = Held {
            info,
            note,
            until,
            order: self.arrivals,
        };
        self.nodes.insert(key, held);
        self.version += 1;
    }

    /// Drops the leases that have run out.
    pub(crate) fn expire(&mut self, now: Instant) {
        let before = self.nodes.len();
        self.nodes.retain(|_, held| now < held.until);
        let settled = now >= self.settled_at;
        if self.nodes.len() != before || settled != self.settled {
            self.settled = settled;
            self.version += 1;
        }
    }

    /// Tells of a change that the view shows and that is not the nodes' own.
    pub(crate) fn touch(&mut self) {
        self.version += 1;
    }

    /// The newest note number that every node which may hold a lease has;
    /// `None` while an earlier leader's leases may still run.
    pub(crate) fn in_force(&self, newest: u64) -> Option<u64> {
        if !self.settled {
            return None;
        }
        let numbers = self.nodes.values().map(|held| held.note);
        Some(numbers.min().unwrap_or(newest))
    }

    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    pub(crate) fn nodes(&self) -> impl Iterator<Item = (&NodeInfo, u64)> {
        self.nodes.values().map(|held| (&held.info, held.note))
    }

    /// The newest incarnation of each node. A drained target shows as leaving.
    pub(crate) fn view(&self, drained: &BTreeSet<String>) -> MemberView {
        let mut newest: BTreeMap<(i32, &str), &Held> = BTreeMap::new();
        for held in self.nodes.values() {
            let place = newest.entry((held.info.role, &held.info.name));
            let kept = place.or_insert(held);
            if held.order > kept.order {
                *kept = held;
            }
        }
        let nodes = newest.into_values().map(|held| {
            let mut info = held.info.clone();
            let target = info.target.as_ref().map(|t| t.target.as_str());
            info.leaving |= target.is_some_and(|target| drained.contains(target));
            info
        });
        MemberView {
            term: self.term,
            version: self.version,
            settled: self.settled,
            nodes: nodes.collect(),
        }
    }
}
