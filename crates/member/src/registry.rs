//! Who holds a lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::slot::Slot;
use crate::{Member, Node, NodeKey, NoteRollout, Refusal, Renewal, View, ViewChanges};

/// Most nodes, living or remembered. Ten times what the system is built for:
/// enough for any real one, and a bound on memory when names are made up.
const MOST_NODES: usize = 10_000;

/// Who holds a lease from this leader, and on which note each of them acts.
///
/// The leader must not grant leases beyond its own; the registry doesn't know
/// of that.
#[derive(Debug)]
pub struct Registry {
    term: u64,
    version: u64,
    /// Oldest version since which changes can be sent one by one instead of the whole view.
    whole_since: u64,
    began: Instant,
    lease: Duration,
    settled: bool,
    /// No lease ends before this moment.
    none_ends_before: Instant,
    slots: BTreeMap<NodeKey, Slot>,
    /// Processes that were replaced before their lease ran out.
    replaced: Vec<Member>,
}

impl Registry {
    /// Begins empty, at the moment when this leader was elected.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let registry = member::Registry::new(7, Instant::now(), Duration::from_secs(3));
    /// assert_eq!(registry.view().term, 7);
    /// assert!(!registry.view().settled);
    /// ```
    #[must_use]
    pub fn new(term: u64, began: Instant, lease: Duration) -> Self {
        Registry {
            term,
            version: 1,
            whole_since: 1,
            began,
            lease,
            settled: false,
            none_ends_before: began,
            slots: BTreeMap::new(),
            replaced: Vec::new(),
        }
    }

    /// How long a lease lasts.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let lease = Duration::from_secs(3);
    /// assert_eq!(member::Registry::new(1, Instant::now(), lease).lease(), lease);
    /// ```
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Takes in a node's renewal. `number` is that of the note in force there.
    ///
    /// Incarnations are random, so the later one is the one seen later. Once
    /// it was seen, an earlier one of that name is refused for good: its late
    /// message would otherwise bring a dead process back into the view, and
    /// calls would be sent to it until its lease ran out.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{Node, Refusal, Registry, Renewal, Role};
    ///
    /// let now = Instant::now();
    /// let mut registry = Registry::new(1, now, Duration::from_secs(3));
    /// let before = Node::new(Role::Agent, "desk-01", 1, "ptuj");
    /// let after = Node::new(Role::Agent, "desk-01", 2, "ptuj");
    /// registry.renew(before.clone(), 1, now);
    /// registry.renew(after, 1, now);
    /// let late = registry.renew(before, 1, now);
    /// assert_eq!(late, Renewal::Refused(Refusal::Superseded));
    /// ```
    pub fn renew(&mut self, node: Node, number: u64, now: Instant) -> Renewal {
        self.renew_in_order(node, number, 0, now)
    }

    /// Takes in a renewal that may have been overtaken on its way through another
    /// node. `sequence` counts the renewals of each process.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{Node, Registry, Role};
    ///
    /// let now = Instant::now();
    /// let mut registry = Registry::new(1, now, Duration::from_secs(3));
    /// let serving = Node::new(Role::Agent, "desk-01", 1, "ptuj");
    /// let leaving = Node { leaving: true, ..serving.clone() };
    /// registry.renew_in_order(leaving, 4, 2, now);
    /// registry.renew_in_order(serving, 3, 1, now);
    /// assert!(registry.view().nodes[0].leaving);
    /// assert_eq!(registry.members().next().unwrap().note, 4);
    /// ```
    pub fn renew_in_order(
        &mut self,
        node: Node,
        number: u64,
        sequence: u64,
        now: Instant,
    ) -> Renewal {
        let mut changed = self.expire(now);
        let expires = now + self.lease;
        if let Some(slot) = self.slots.get_mut(&node.key) {
            if slot.is_superseded(node.incarnation) {
                return Renewal::Refused(Refusal::Superseded);
            }
            if slot.live && slot.member.node.incarnation != node.incarnation {
                self.replaced.push(slot.member.clone());
            }
            if slot.renew(node, number, sequence, expires) {
                self.version += 1;
                slot.changed = self.version;
                changed = true;
            }
            return Renewal::Granted { changed };
        }
        if self.slots.len() >= MOST_NODES && !self.forget_oldest() {
            return Renewal::Refused(Refusal::Full);
        }
        let key = node.key.clone();
        let node = Arc::new(node);
        let member = Member {
            node,
            note: number,
            expires,
        };
        self.version += 1;
        self.slots
            .insert(key, Slot::new(member, self.version, sequence));
        Renewal::Granted { changed: true }
    }

    /// Ends the leases that have run out and settles the view one lease after
    /// the leader began; whether the view has another version than before.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{Node, Registry, Role};
    ///
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut registry = Registry::new(1, now, lease);
    /// registry.renew(Node::new(Role::Agent, "desk-01", 1, "ptuj"), 1, now);
    /// assert!(registry.expire(now + lease));
    /// assert!(registry.view().nodes.is_empty() && registry.view().settled);
    /// ```
    pub fn expire(&mut self, now: Instant) -> bool {
        let mut changed = now >= self.none_ends_before && self.end_leases(now);
        if !self.settled && now >= self.began + self.lease {
            self.settled = true;
            changed = true;
            // Whoever holds an unsettled view may also hold nodes that only an
            // earlier leader knew, and has to be told the whole to drop them.
            self.whole_since = self.version + 1;
        }
        self.version += u64::from(changed);
        changed
    }

    /// The nodes that live, as of the last renewal or expiry.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let registry = member::Registry::new(1, Instant::now(), Duration::from_secs(3));
    /// assert_eq!(registry.view().version, registry.version());
    /// ```
    #[must_use]
    pub fn view(&self) -> View {
        View {
            term: self.term,
            version: self.version,
            settled: self.settled,
            nodes: self
                .members()
                .map(|member| Arc::clone(&member.node))
                .collect(),
        }
    }

    /// What has changed since an earlier version of this term's view, or `None`
    /// when only the whole view tells.
    ///
    /// A view of all nodes to each node at each change would be a cost by the square
    /// of their number: with a thousand of them a common restart would keep the
    /// leader so busy with it that leases ran out, which changes the view again.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{Node, Registry, Role};
    ///
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut registry = Registry::new(1, now, lease);
    /// registry.renew(Node::new(Role::Entry, "entry-1", 1, "celje"), 0, now);
    /// let version = registry.version();
    /// registry.renew(Node::new(Role::Entry, "entry-2", 2, "ptuj"), 0, now);
    /// let changes = registry.changes_since(version).unwrap();
    /// assert_eq!(changes.nodes.len(), 1);
    /// assert!(changes.removed.is_empty());
    /// ```
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Option<ViewChanges> {
        if version < self.whole_since || version > self.version {
            return None;
        }
        let mut changes = ViewChanges::default();
        for (key, slot) in &self.slots {
            if slot.changed <= version {
                continue;
            }
            if slot.live {
                changes.nodes.push(Arc::clone(&slot.member.node));
            } else {
                changes.removed.push(key.clone());
            }
        }
        Some(changes)
    }

    /// Counts a new version that only the whole view tells.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let mut registry = member::Registry::new(1, Instant::now(), Duration::from_secs(3));
    /// let version = registry.version();
    /// registry.require_full_view();
    /// assert!(registry.changes_since(version).is_none());
    /// ```
    pub fn require_full_view(&mut self) {
        self.version += 1;
        self.whole_since = self.version;
    }

    /// Whether all who may hold a lease of an earlier leader have been heard of or
    /// have lost it.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let registry = member::Registry::new(1, Instant::now(), Duration::from_secs(3));
    /// assert!(!registry.is_settled());
    /// ```
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// The version of the view, without making it.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let registry = member::Registry::new(1, Instant::now(), Duration::from_secs(3));
    /// assert_eq!(registry.version(), 1);
    /// ```
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The nodes that live, with their note and lease, in order of their keys.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let registry = member::Registry::new(1, Instant::now(), Duration::from_secs(3));
    /// assert_eq!(registry.members().count(), 0);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.slots
            .values()
            .filter(|slot| slot.live)
            .map(|slot| &slot.member)
    }

    /// The node of this key, if it lives.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{Node, Registry, Role};
    ///
    /// let now = Instant::now();
    /// let mut registry = Registry::new(1, now, Duration::from_secs(3));
    /// let node = Node::new(Role::Agent, "desk-01", 1, "ptuj");
    /// registry.renew(node.clone(), 4, now);
    /// assert_eq!(registry.member(&node.key).unwrap().note, 4);
    /// ```
    #[must_use]
    pub fn member(&self, key: &NodeKey) -> Option<&Member> {
        let slot = self.slots.get(key).filter(|slot| slot.live);
        slot.map(|slot| &slot.member)
    }

    /// Whether a note is in force everywhere: every node with a live lease
    /// acts on it or a later one, and every lease that a former leader granted
    /// has run out. A node without a lease takes no new work, so it doesn't
    /// count. A process that was replaced does until its lease ends: it may
    /// still run and know nothing of the other.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{Node, Registry, Role};
    ///
    /// let (began, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut registry = Registry::new(1, began, lease);
    /// let now = began + lease;
    /// registry.renew(Node::new(Role::Entry, "entry-1", 1, "ptuj"), 4, now);
    /// assert!(registry.note_rollout(4, now).everywhere);
    /// assert_eq!(registry.note_rollout(5, now).lagging[0].name, "entry-1");
    /// ```
    #[must_use]
    pub fn note_rollout(&self, number: u64, now: Instant) -> NoteRollout {
        let leased = self.members().chain(&self.replaced);
        let leased = leased.filter(|member| now < member.expires);
        let behind = leased.filter(|member| member.note < number);
        let lagging: Vec<NodeKey> = behind.map(|member| member.node.key.clone()).collect();
        let settled = now >= self.began + self.lease;
        NoteRollout {
            everywhere: settled && lagging.is_empty(),
            lagging,
        }
    }

    /// Each scan moves the next one to the earliest end of a lease, so that
    /// renewals don't each walk all nodes.
    fn end_leases(&mut self, now: Instant) -> bool {
        let mut changed = false;
        let mut earliest = now + self.lease;
        for slot in self.slots.values_mut().filter(|slot| slot.live) {
            if now >= slot.member.expires {
                slot.live = false;
                // The version that the caller is about to count.
                slot.changed = self.version + 1;
                changed = true;
            } else {
                earliest = earliest.min(slot.member.expires);
            }
        }
        self.replaced.retain(|member| now < member.expires);
        self.none_ends_before = earliest;
        changed
    }

    /// Makes room by forgetting the node that has been gone for longest.
    fn forget_oldest(&mut self) -> bool {
        let gone = self.slots.iter().filter(|(_, slot)| !slot.live);
        let oldest = gone.min_by_key(|(_, slot)| slot.member.expires);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return false;
        };
        self.slots.remove(&key);
        self.whole_since = self.version + 1;
        true
    }
}
