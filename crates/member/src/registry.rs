//! The nodes that hold a lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::node_record::NodeRecord;
use crate::{Member, Node, NodeKey, NoteRollout, Refusal, Renewal, View, ViewChanges};

/// Maximum number of live and remembered nodes: ten times the size that the system is
/// designed for. Bounds the memory if nodes renew under made-up names.
const MAX_NODES: usize = 10_000;

/// Renewals in the time of a lease. One of them may be lost.
const RENEWALS_PER_LEASE: u32 = 3;
/// Nodes for which leases have their shortest duration; they grow with each further as
/// many.
pub const NODES_PER_LEASE: usize = 64;

/// The nodes that hold a lease from this leader, and the release note that each uses.
///
/// The leader must not grant leases that outlast its own; the registry does not check
/// that.
#[derive(Debug)]
pub struct Registry {
    term: u64,
    version: u64,
    /// Oldest version since which changes can be sent one by one instead of the whole view.
    full_view_version: u64,
    began: Instant,
    /// Duration of a lease in a small deployment, and its maximum.
    lease: Duration,
    max_lease: Duration,
    /// Largest number of nodes that a node has reported to know.
    reported_nodes: usize,
    settled: bool,
    /// No lease ends before this time.
    earliest_expiry: Instant,
    records: BTreeMap<NodeKey, NodeRecord>,
    /// Processes that were replaced before their lease expired.
    replaced: Vec<Member>,
}

impl Registry {
    /// Creates an empty registry for a leader that was elected at `began`.
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
            full_view_version: 1,
            began,
            lease,
            max_lease: lease,
            reported_nodes: 0,
            settled: false,
            earliest_expiry: began,
            records: BTreeMap::new(),
            replaced: Vec::new(),
        }
    }

    /// Lets leases grow with the number of nodes, up to `max_lease`, so that the
    /// renewals of a large deployment do not use up the leader's capacity. All leaders
    /// must use the same maximum.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{NODES_PER_LEASE, Registry};
    ///
    /// let (lease, max) = (Duration::from_secs(1), Duration::from_secs(3));
    /// let mut registry = Registry::new(1, Instant::now(), lease).with_max_lease(max);
    /// assert_eq!(registry.lease(), lease);
    /// registry.report_nodes(2 * NODES_PER_LEASE);
    /// assert_eq!(registry.lease(), 2 * lease);
    /// registry.report_nodes(100 * NODES_PER_LEASE);
    /// assert_eq!(registry.lease(), max);
    /// ```
    #[must_use]
    pub fn with_max_lease(mut self, max_lease: Duration) -> Self {
        self.max_lease = max_lease.max(self.lease);
        self
    }

    /// Duration of a lease.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let lease = Duration::from_secs(3);
    /// assert_eq!(member::Registry::new(1, Instant::now(), lease).lease(), lease);
    /// ```
    #[must_use]
    pub fn lease(&self) -> Duration {
        let nodes = self.records.len().max(self.reported_nodes);
        let factor = u32::try_from(nodes / NODES_PER_LEASE).unwrap_or(u32::MAX);
        self.lease.saturating_mul(factor.max(1)).min(self.max_lease)
    }

    /// Interval between renewals, if leases are longer than in a small deployment.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{NODES_PER_LEASE, Registry};
    ///
    /// let lease = Duration::from_secs(3);
    /// let mut registry = Registry::new(1, Instant::now(), lease).with_max_lease(4 * lease);
    /// assert_eq!(registry.renew_interval(), None);
    /// registry.report_nodes(2 * NODES_PER_LEASE);
    /// assert_eq!(registry.renew_interval(), Some(2 * lease / 3));
    /// ```
    #[must_use]
    pub fn renew_interval(&self) -> Option<Duration> {
        let lease = self.lease();
        (lease > self.lease).then(|| lease / RENEWALS_PER_LEASE)
    }

    /// Records how many nodes a node knows. A new leader learns the size of the
    /// deployment from the first renewal, before most nodes have renewed.
    pub fn report_nodes(&mut self, nodes: usize) {
        self.reported_nodes = self.reported_nodes.max(nodes.min(MAX_NODES));
    }

    /// Applies a node's renewal. `note_number` is that of the release note in use there.
    ///
    /// Incarnations are random numbers, so the one that is seen last is the newest.
    /// From then on, earlier ones of the same name are refused: a delayed message
    /// would otherwise return a dead process to the view, and calls would be sent
    /// to it until its lease expired.
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
    pub fn renew(&mut self, node: Node, note_number: u64, now: Instant) -> Renewal {
        self.renew_in_order(node, note_number, 0, now)
    }

    /// Applies a renewal that may arrive out of order because another node relayed it.
    /// `sequence` is its number among the renewals of the process.
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
        note_number: u64,
        sequence: u64,
        now: Instant,
    ) -> Renewal {
        let mut changed = self.expire(now);
        let expires = now + self.lease();
        if let Some(record) = self.records.get_mut(&node.key) {
            if record.is_superseded(node.incarnation) {
                return Renewal::Refused(Refusal::Superseded);
            }
            if record.live && record.member.node.incarnation != node.incarnation {
                self.replaced.push(record.member.clone());
            }
            if record.renew(node, note_number, sequence, expires) {
                self.version += 1;
                record.changed = self.version;
                changed = true;
            }
            return Renewal::Granted { changed };
        }
        if self.records.len() >= MAX_NODES && !self.remove_oldest_expired() {
            return Renewal::Refused(Refusal::Full);
        }
        let key = node.key.clone();
        let node = Arc::new(node);
        let member = Member {
            node,
            note: note_number,
            expires,
        };
        self.version += 1;
        self.records
            .insert(key, NodeRecord::new(member, self.version, sequence));
        Renewal::Granted { changed: true }
    }

    /// Applies a renewal of a node whose state is the one of its last full renewal in
    /// this term. Returns false if no such state is known, so that the node has to send
    /// it.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use member::{Node, Registry, Role};
    ///
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut registry = Registry::new(1, now, lease);
    /// let node = Node::new(Role::Agent, "desk-01", 1, "ptuj");
    /// registry.renew(node.clone(), 4, now);
    /// assert!(registry.renew_unchanged(&node.key, 1, 5, 0, now));
    /// assert_eq!(registry.member(&node.key).unwrap().note, 5);
    /// assert!(!registry.renew_unchanged(&node.key, 2, 5, 0, now));
    /// assert!(!registry.renew_unchanged(&node.key, 1, 5, 0, now + lease));
    /// ```
    pub fn renew_unchanged(
        &mut self,
        key: &NodeKey,
        incarnation: u64,
        note_number: u64,
        sequence: u64,
        now: Instant,
    ) -> bool {
        self.expire(now);
        let expires = now + self.lease();
        let record = self.records.get_mut(key);
        record.is_some_and(|record| {
            record.renew_unchanged(incarnation, note_number, sequence, expires)
        })
    }

    /// Expires leases, and settles the view one lease after the leader was elected.
    /// Returns whether the version of the view changed.
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
        let mut changed = now >= self.earliest_expiry && self.expire_leases(now);
        if !self.settled && now >= self.began + self.lease() {
            self.settled = true;
            changed = true;
            // Nodes with an unsettled view may still hold nodes that only an earlier
            // leader knew, and need the full view to remove them.
            self.full_view_version = self.version + 1;
        }
        self.version += u64::from(changed);
        changed
    }

    /// Returns the live nodes as of the last renewal or expiry.
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

    /// Returns the changes since an earlier version of this term's view, or `None`
    /// if the full view is needed.
    ///
    /// Sending the full view to each node at each change costs the square of the number
    /// of nodes. When a thousand nodes restarted together, the leader would be so busy
    /// with it that leases expired, which changes the view again.
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
        if version < self.full_view_version || version > self.version {
            return None;
        }
        let mut changes = ViewChanges::default();
        for (key, record) in &self.records {
            if record.changed <= version {
                continue;
            }
            if record.live {
                changes.nodes.push(Arc::clone(&record.member.node));
            } else {
                changes.removed.push(key.clone());
            }
        }
        Some(changes)
    }

    /// Starts a new version that can only be sent as a full view.
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
        self.full_view_version = self.version;
    }

    /// Whether every lease that an earlier leader granted has been renewed here or has
    /// expired.
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

    /// Version of the view, without building the view.
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

    /// Returns the live nodes with their note and lease, ordered by key.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    ///
    /// let registry = member::Registry::new(1, Instant::now(), Duration::from_secs(3));
    /// assert_eq!(registry.members().count(), 0);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.records
            .values()
            .filter(|record| record.live)
            .map(|record| &record.member)
    }

    /// Returns the node with this key if it is live.
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
        let record = self.records.get(key).filter(|record| record.live);
        record.map(|record| &record.member)
    }

    /// Returns whether a release note is in use everywhere: every node with a live
    /// lease uses it or a later one, and every lease that an earlier leader granted
    /// has expired. A node without a lease accepts no new work, so it does not count.
    /// A replaced process counts until its lease ends: it may still run without
    /// knowing of its replacement.
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
        let settled = now >= self.began + self.max_lease;
        NoteRollout {
            everywhere: settled && lagging.is_empty(),
            lagging,
        }
    }

    /// Expires leases. Each scan schedules the next one for the earliest end of a
    /// lease, so that not every renewal iterates over all nodes.
    fn expire_leases(&mut self, now: Instant) -> bool {
        let mut changed = false;
        let mut earliest = now + self.lease();
        for record in self.records.values_mut().filter(|record| record.live) {
            if now >= record.member.expires {
                record.live = false;
                // The caller increments the version to this value.
                record.changed = self.version + 1;
                changed = true;
            } else {
                earliest = earliest.min(record.member.expires);
            }
        }
        self.replaced.retain(|member| now < member.expires);
        self.earliest_expiry = earliest;
        changed
    }

    /// Frees a record by removing the node that expired first. Returns whether there
    /// was one.
    fn remove_oldest_expired(&mut self) -> bool {
        let gone = self.records.iter().filter(|(_, record)| !record.live);
        let oldest = gone.min_by_key(|(_, record)| record.member.expires);
        let Some(key) = oldest.map(|(key, _)| key.clone()) else {
            return false;
        };
        self.records.remove(&key);
        self.full_view_version = self.version + 1;
        true
    }
}
