//! Leases of nodes, in terms of protobuf messages.

use crate::node_info::{encode_for_view, encode_role, parse, parse_role};
use crate::withdrawn::Withdrawn;
use member::{Member, Node, NodeKey, Registry, RelayCandidate, Renewal, RenewalPath, renewal_path};
use route::{FULL_QUOTA, QuotaAllocator, QuotaUsage, TokenBucket};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};
use wire::proto::{
    self, AccountPart, AccountUse, MemberView, NodeInfo, NodeRef, RenewalRelay, UnchangedNode,
};

/// Rows of views a second to nodes that could have them from a relay. A row has about
/// 150 bytes.
const VIEW_ROWS_PER_SECOND: f64 = 16_000.0;

/// The nodes that hold a lease from this leader, and the quotas granted to them.
///
/// ```
/// use std::time::{Duration, Instant};
/// use wire::proto::{NodeInfo, Role};
///
/// let (now, lease) = (Instant::now(), Duration::from_secs(3));
/// let mut leases = control::NodeLeases::new(1, lease, now);
/// let role = Role::Entry.into();
/// let info = NodeInfo { role, name: "entry-1".into(), ..NodeInfo::default() };
/// leases.renew(info, 4, now + lease).unwrap();
/// assert_eq!(leases.progress(5, now + lease).everywhere, Some(4));
/// ```
#[derive(Debug)]
pub struct NodeLeases {
    term: u64,
    registry: Registry,
    /// Key, release note number and lease end of superseded incarnations.
    superseded: Vec<(NodeKey, u64, Instant)>,
    quotas: QuotaAllocator,
    /// Limits the views that are sent to nodes that could have them from a relay.
    view_rows: TokenBucket,
}

/// How far the accepted release notes have reached the nodes.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct NoteProgress {
    /// Newest number that is in force on every node that may take work. `None`
    /// until the leases granted by earlier leaders have expired.
    pub everywhere: Option<u64>,
    /// Nodes on which an earlier note than the newest is in force.
    pub lagging: Vec<String>,
}

impl NodeLeases {
    /// Creates the leases of a leader whose term begins at `now`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// assert_eq!(control::NodeLeases::new(7, lease, now).term(), 7);
    /// ```
    #[must_use]
    pub fn new(term: u64, lease: Duration, now: Instant) -> NodeLeases {
        NodeLeases {
            term,
            registry: Registry::new(term, now, lease),
            superseded: Vec::new(),
            quotas: QuotaAllocator::new(now, lease),
            view_rows: TokenBucket::new(VIEW_ROWS_PER_SECOND, now),
        }
    }

    /// Lets leases grow with the number of nodes, up to `max_lease`.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(1));
    /// let leases = control::NodeLeases::new(7, lease, now);
    /// let mut leases = leases.with_max_lease(2 * lease, now);
    /// leases.report_nodes(500);
    /// assert_eq!(leases.lease(), 2 * lease);
    /// ```
    #[must_use]
    pub fn with_max_lease(mut self, max_lease: Duration, now: Instant) -> NodeLeases {
        self.registry = self.registry.with_max_lease(max_lease);
        // A share is granted for the duration of a lease.
        self.quotas = QuotaAllocator::new(now, max_lease);
        self
    }

    /// Returns the duration of a lease that is granted now.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.registry.lease()
    }

    /// Returns the interval between renewals, if leases are longer than usual.
    #[must_use]
    pub fn renew_interval(&self) -> Option<Duration> {
        self.registry.renew_interval()
    }

    /// Records how many nodes a node knows.
    pub fn report_nodes(&mut self, nodes: u32) {
        self.registry
            .report_nodes(usize::try_from(nodes).unwrap_or(usize::MAX));
    }

    /// Returns the term of the leader.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let leases = control::NodeLeases::new(7, lease, now);
    /// assert_eq!(leases.term(), 7);
    /// ```
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns the version of the member view.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let leases = control::NodeLeases::new(7, lease, now);
    /// assert_eq!(leases.version(), 1);
    /// ```
    #[must_use]
    pub fn version(&self) -> u64 {
        self.registry.version()
    }

    /// Grants a lease to a node on which release note `number` is in force.
    ///
    /// # Errors
    ///
    /// Returns the reason if no lease is granted.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut leases = control::NodeLeases::new(7, lease, now);
    /// let nameless = wire::proto::NodeInfo::default();
    /// assert!(leases.renew(nameless, 1, now).is_err());
    /// ```
    pub fn renew(&mut self, info: NodeInfo, number: u64, now: Instant) -> Result<(), &'static str> {
        self.renew_in_order(info, number, 0, now)
    }

    /// Grants a lease to a node on which release note `number` is in force;
    /// `sequence` counts the node's renewals.
    ///
    /// # Errors
    ///
    /// Returns the reason if no lease is granted.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut leases = control::NodeLeases::new(7, lease, now);
    /// let nameless = wire::proto::NodeInfo::default();
    /// assert!(leases.renew_in_order(nameless, 1, 1, now).is_err());
    /// ```
    pub fn renew_in_order(
        &mut self,
        info: NodeInfo,
        number: u64,
        sequence: u64,
        now: Instant,
    ) -> Result<(), &'static str> {
        let node = parse(info)?;
        // Looked up by key: scanning all of a thousand nodes at each renewal took
        // a large part of the leader's CPU time.
        let previous = self.registry.member(&node.key);
        let superseded = previous.filter(|m| m.node.incarnation != node.incarnation);
        let superseded = superseded.map(|m| (m.node.key.clone(), m.note, m.expires));
        match self.registry.renew_in_order(node, number, sequence, now) {
            Renewal::Granted { .. } => {
                // A superseded process may still run and take work until its
                // lease expires.
                self.superseded.extend(superseded);
                Ok(())
            }
            Renewal::Refused(member::Refusal::Superseded) => {
                Err("a later incarnation of this name was seen")
            }
            Renewal::Refused(member::Refusal::Full) => Err("too many nodes"),
        }
    }

    /// Grants a lease to a node whose state is the one of its last renewal in this term.
    ///
    /// # Errors
    ///
    /// Returns the reason if no lease is granted; the node then has to send its state.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use wire::proto::{NodeInfo, Role, UnchangedNode};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut leases = control::NodeLeases::new(7, lease, now);
    /// let role = Role::Agent.into();
    /// let node = UnchangedNode { role, name: "desk-01".into(), incarnation: 3, term: 7 };
    /// assert!(leases.renew_unchanged(&node, 1, 1, now).is_err());
    /// let info = NodeInfo { role, name: "desk-01".into(), incarnation: 3, ..NodeInfo::default() };
    /// leases.renew_in_order(info, 1, 1, now).unwrap();
    /// leases.renew_unchanged(&node, 1, 2, now).unwrap();
    /// ```
    pub fn renew_unchanged(
        &mut self,
        node: &UnchangedNode,
        number: u64,
        sequence: u64,
        now: Instant,
    ) -> Result<(), &'static str> {
        if node.term != self.term {
            return Err("another leader knows the state of the node");
        }
        let key = NodeKey {
            role: parse_role(node.role())?,
            name: node.name.clone(),
        };
        let renewed = self
            .registry
            .renew_unchanged(&key, node.incarnation, number, sequence, now);
        if renewed {
            Ok(())
        } else {
            Err("the state of the node is not known")
        }
    }

    /// Grants an entry that holds a lease its shares of the limits of client
    /// accounts. A share is in units of [`route::FULL_QUOTA`].
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use wire::proto::{AccountUse, NodeInfo, Role};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut leases = control::NodeLeases::new(1, lease, now);
    /// let entry = NodeInfo { role: Role::Entry.into(), ..NodeInfo::default() };
    /// let used = AccountUse { account: 7, demand: 20, held: 0 };
    /// let parts = leases.grant_quotas(&entry, 1, &[used], now + lease);
    /// assert_eq!(parts[0].part, route::FULL_QUOTA);
    /// ```
    pub fn grant_quotas(
        &mut self,
        entry: &NodeInfo,
        sequence: u64,
        uses: &[AccountUse],
        now: Instant,
    ) -> Vec<AccountPart> {
        if uses.is_empty() || entry.role() != proto::Role::Entry {
            return Vec::new();
        }
        // Distinct for each incarnation of each entry, within this leader's term.
        let mut key = DefaultHasher::new();
        (&entry.name, entry.incarnation).hash(&mut key);
        let uses = uses.iter().map(|used| QuotaUsage {
            account: used.account,
            demand: used.demand.min(FULL_QUOTA),
            held: used.held.min(FULL_QUOTA),
        });
        let uses: Vec<QuotaUsage> = uses.collect();
        let parts = self.quotas.report(key.finish(), sequence, &uses, now);
        let parts = parts.into_iter().map(|granted| AccountPart {
            account: granted.account,
            part: granted.share,
        });
        parts.collect()
    }

    /// The node through which a node should renew, if its zone has more nodes than may
    /// renew directly.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use wire::proto::{NodeInfo, Role};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut leases = control::NodeLeases::new(1, lease, now);
    /// for n in 0..40 {
    ///     let info = NodeInfo {
    ///         role: Role::Agent.into(),
    ///         name: format!("desk-{n:02}"),
    ///         link_address: format!("127.0.0.1:{}", 7000 + n),
    ///         ..NodeInfo::default()
    ///     };
    ///     leases.renew(info, 1, now).unwrap();
    /// }
    /// let through = |n| leases.relay_of(Role::Agent, &format!("desk-{n:02}"));
    /// assert_eq!((0..40).filter(|n| through(*n).is_none()).count(), 3);
    /// ```
    #[must_use]
    pub fn relay_of(&self, role: proto::Role, name: &str) -> Option<RenewalRelay> {
        let key = NodeKey {
            role: parse_role(role).ok()?,
            name: name.to_owned(),
        };
        let me = &self.registry.member(&key)?.node;
        let members = self.registry.members();
        let zone = members.filter(|member| member.node.zone == me.zone);
        let zone: Vec<RelayCandidate<'_>> = zone.map(|m| as_candidate(&m.node)).collect();
        let RenewalPath::Through(name) = renewal_path(as_candidate(me), &zone) else {
            return None;
        };
        let key = NodeKey {
            role: member::Role::Agent,
            name: name.to_owned(),
        };
        let relay = &self.registry.member(&key)?.node;
        Some(RenewalRelay {
            name: relay.key.name.clone(),
            incarnation: relay.incarnation,
            link_address: relay.link_address?.to_string(),
        })
    }

    /// Whether a node that could have its view from a relay, and holds a view of
    /// `held_term`, is sent one now.
    ///
    /// When relays cannot get through to a busy leader, their nodes turn to it for whole
    /// views. Without a limit it would never catch up.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut leases = control::NodeLeases::new(1, lease, now);
    /// assert!(leases.admits_view(0, now));
    /// ```
    pub fn admits_view(&mut self, held_term: u64, now: Instant) -> bool {
        let rows = if held_term == self.term {
            1
        } else {
            self.registry.members().count()
        };
        let rows = u32::try_from(rows).unwrap_or(u32::MAX);
        self.view_rows.take(now, f64::from(rows)).is_ok()
    }

    /// Removes the leases that have expired.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut leases = control::NodeLeases::new(7, lease, now);
    /// leases.expire(now + lease);
    /// assert!(leases.view(&Default::default()).settled);
    /// ```
    pub fn expire(&mut self, now: Instant) {
        self.registry.expire(now);
        self.superseded.retain(|(_, _, expires)| now < *expires);
        self.quotas.expire(now);
    }

    /// Starts a new version of the view because operators have withdrawn other
    /// targets.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut leases = control::NodeLeases::new(7, lease, now);
    /// leases.withdrawn_targets_changed();
    /// assert_eq!(leases.version(), 2);
    /// ```
    pub fn withdrawn_targets_changed(&mut self) {
        self.registry.require_full_view();
    }

    /// Returns how far the notes up to `newest` have reached the nodes.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let leases = control::NodeLeases::new(7, lease, now);
    /// assert_eq!(leases.progress(4, now).everywhere, None);
    /// ```
    #[must_use]
    pub fn progress(&self, newest: u64, now: Instant) -> NoteProgress {
        let mut everywhere = newest;
        let mut lagging = Vec::new();
        let live = self.registry.members().filter(|m| now < m.expires);
        let live = live.map(|m| (&m.node.key, m.note));
        let superseded = self.superseded.iter();
        let superseded = superseded.filter(|(_, _, expires)| now < *expires);
        let superseded = superseded.map(|(key, note, _)| (key, *note));
        for (key, note) in live.chain(superseded) {
            everywhere = everywhere.min(note);
            if note < newest {
                lagging.push(key.to_string());
            }
        }
        let settled = self.registry.note_rollout(0, now).everywhere;
        NoteProgress {
            everywhere: settled.then_some(everywhere),
            lagging,
        }
    }

    /// Returns the nodes that hold a lease.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let leases = control::NodeLeases::new(7, lease, now);
    /// assert_eq!(leases.members().count(), 0);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.registry.members()
    }

    /// Returns the view of the nodes that hold a lease. A withdrawn target
    /// is marked as leaving.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let leases = control::NodeLeases::new(7, lease, now);
    /// assert!(leases.view(&Default::default()).nodes.is_empty());
    /// ```
    #[must_use]
    pub fn view(&self, withdrawn: &Withdrawn) -> MemberView {
        let view = self.registry.view();
        let nodes = view
            .nodes
            .iter()
            .map(|node| encode_for_view(node, withdrawn));
        MemberView {
            term: view.term,
            version: view.version,
            settled: view.settled,
            nodes: nodes.collect(),
            ..MemberView::default()
        }
    }

    /// Returns what a node that holds `version` of the view of `term` lacks:
    /// nothing, the changes since then, or the whole view.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let leases = control::NodeLeases::new(7, lease, now);
    /// assert!(leases.view_since(7, leases.version(), &Default::default()).is_none());
    /// assert_eq!(leases.view_since(6, 40, &Default::default()).unwrap().since, 0);
    /// ```
    #[must_use]
    pub fn view_since(&self, term: u64, version: u64, withdrawn: &Withdrawn) -> Option<MemberView> {
        let same_term = term == self.term;
        if same_term && version == self.version() {
            return None;
        }
        let changes = same_term.then(|| self.registry.changes_since(version));
        let Some(changes) = changes.flatten() else {
            return Some(self.view(withdrawn));
        };
        let nodes = changes
            .nodes
            .iter()
            .map(|node| encode_for_view(node, withdrawn));
        let gone = changes.removed.into_iter().map(|key| NodeRef {
            role: encode_role(key.role).into(),
            name: key.name,
        });
        Some(MemberView {
            term: self.term,
            version: self.version(),
            settled: self.registry.is_settled(),
            nodes: nodes.collect(),
            since: version,
            gone: gone.collect(),
        })
    }
}

fn as_candidate(node: &Node) -> RelayCandidate<'_> {
    RelayCandidate {
        name: &node.key.name,
        accepts_links: node.key.role == member::Role::Agent
            && !node.leaving
            && node.link_address.is_some(),
    }
}
