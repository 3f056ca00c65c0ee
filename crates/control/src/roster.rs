//! The nodes that hold a lease, between the messages and `member`.

use crate::node_info::{encode_role, parse, shown};
use member::{Member, NodeKey, Registry, Renewal};
use route::{FULL_QUOTA, QuotaAllocator, QuotaUsage};
use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};
use wire::proto::{self, AccountPart, AccountUse, MemberView, NodeInfo, NodeRef};

/// The nodes that hold a lease from this leader.
///
/// ```
/// use std::time::{Duration, Instant};
/// use wire::proto::{NodeInfo, Role};
///
/// let (now, lease) = (Instant::now(), Duration::from_secs(3));
/// let mut roster = control::Roster::new(1, lease, now);
/// let role = Role::Entry.into();
/// let info = NodeInfo { role, name: "entry-1".into(), ..NodeInfo::default() };
/// roster.renew(info, 4, now + lease).unwrap();
/// assert_eq!(roster.progress(5, now + lease).everywhere, Some(4));
/// ```
#[derive(Debug)]
pub struct Roster {
    term: u64,
    registry: Registry,
    /// Leases of incarnations that were replaced, with their notes.
    former: Vec<(NodeKey, u64, Instant)>,
    exchange: QuotaAllocator,
}

/// How far the accepted notes have come.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Newest number that every node which may take work acts on, once the
    /// leases of earlier leaders have run out.
    pub everywhere: Option<u64>,
    /// Nodes that act on an earlier note than the newest.
    pub lagging: Vec<String>,
}

impl Roster {
    /// The roster of a leader that begins now.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// assert_eq!(control::Roster::new(7, lease, now).term(), 7);
    /// ```
    #[must_use]
    pub fn new(term: u64, lease: Duration, now: Instant) -> Roster {
        Roster {
            term,
            registry: Registry::new(term, now, lease),
            former: Vec::new(),
            exchange: QuotaAllocator::new(now, lease),
        }
    }

    /// Term of the leader.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let roster = control::Roster::new(7, lease, now);
    /// assert_eq!(roster.term(), 7);
    /// ```
    #[must_use]
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Version of the view.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let roster = control::Roster::new(7, lease, now);
    /// assert_eq!(roster.version(), 1);
    /// ```
    #[must_use]
    pub fn version(&self) -> u64 {
        self.registry.version()
    }

    /// Grants a lease to a node at that note.
    ///
    /// # Errors
    ///
    /// Tells why there is none.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut roster = control::Roster::new(7, lease, now);
    /// let nameless = wire::proto::NodeInfo::default();
    /// assert!(roster.renew(nameless, 1, now).is_err());
    /// ```
    pub fn renew(&mut self, info: NodeInfo, number: u64, now: Instant) -> Result<(), &'static str> {
        self.renew_in_order(info, number, 0, now)
    }

    /// Grants a lease to a node at that note; `sequence` counts its renewals.
    ///
    /// # Errors
    ///
    /// Tells why there is none.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut roster = control::Roster::new(7, lease, now);
    /// let nameless = wire::proto::NodeInfo::default();
    /// assert!(roster.renew_in_order(nameless, 1, 1, now).is_err());
    /// ```
    pub fn renew_in_order(
        &mut self,
        info: NodeInfo,
        number: u64,
        sequence: u64,
        now: Instant,
    ) -> Result<(), &'static str> {
        let node = parse(info)?;
        // Looked up by key: to look through all of a thousand nodes at each renewal
        // was a good part of what the leader spent.
        let before = self.registry.member(&node.key);
        let former = before.filter(|m| m.node.incarnation != node.incarnation);
        let former = former.map(|m| (m.node.key.clone(), m.note, m.expires));
        match self.registry.renew_in_order(node, number, sequence, now) {
            Renewal::Granted { .. } => {
                // A process that was replaced may still run and take work
                // until its lease is over.
                self.former.extend(former);
                Ok(())
            }
            Renewal::Refused(member::Refusal::Superseded) => {
                Err("a later incarnation of this name was seen")
            }
            Renewal::Refused(member::Refusal::Full) => Err("too many nodes"),
        }
    }

    /// Grants a node that holds a lease its parts of accounts' limits.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// # use wire::proto::{AccountUse, NodeInfo, Role};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut roster = control::Roster::new(1, lease, now);
    /// let entry = NodeInfo { role: Role::Entry.into(), ..NodeInfo::default() };
    /// let used = AccountUse { account: 7, demand: 20, held: 0 };
    /// let parts = roster.share(&entry, 1, &[used], now + lease);
    /// assert_eq!(parts[0].part, route::FULL_QUOTA);
    /// ```
    pub fn share(
        &mut self,
        entry: &NodeInfo,
        sequence: u64,
        uses: &[AccountUse],
        now: Instant,
    ) -> Vec<AccountPart> {
        if uses.is_empty() || entry.role() != proto::Role::Entry {
            return Vec::new();
        }
        // Distinct for each run of each entry, within this leader.
        let mut key = DefaultHasher::new();
        (&entry.name, entry.incarnation).hash(&mut key);
        let uses = uses.iter().map(|used| QuotaUsage {
            account: used.account,
            demand: used.demand.min(FULL_QUOTA),
            held: used.held.min(FULL_QUOTA),
        });
        let uses: Vec<QuotaUsage> = uses.collect();
        let parts = self.exchange.report(key.finish(), sequence, &uses, now);
        let parts = parts.into_iter().map(|granted| AccountPart {
            account: granted.account,
            part: granted.share,
        });
        parts.collect()
    }

    /// Ends the leases that have run out.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut roster = control::Roster::new(7, lease, now);
    /// roster.expire(now + lease);
    /// assert!(roster.view(&Default::default()).settled);
    /// ```
    pub fn expire(&mut self, now: Instant) {
        self.registry.expire(now);
        self.former.retain(|(_, _, until)| now < *until);
        self.exchange.expire(now);
    }

    /// Tells that the drained targets have changed.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let mut roster = control::Roster::new(7, lease, now);
    /// roster.drained();
    /// assert_eq!(roster.version(), 2);
    /// ```
    pub fn drained(&mut self) {
        self.registry.require_full_view();
    }

    /// How far the notes up to the newest have come.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let roster = control::Roster::new(7, lease, now);
    /// assert_eq!(roster.progress(4, now).everywhere, None);
    /// ```
    #[must_use]
    pub fn progress(&self, newest: u64, now: Instant) -> Progress {
        let mut everywhere = newest;
        let mut lagging = Vec::new();
        let live = self.registry.members().filter(|m| now < m.expires);
        let live = live.map(|m| (&m.node.key, m.note));
        let former = self.former.iter().filter(|(_, _, until)| now < *until);
        let former = former.map(|(key, note, _)| (key, *note));
        for (key, note) in live.chain(former) {
            everywhere = everywhere.min(note);
            if note < newest {
                lagging.push(key.to_string());
            }
        }
        let settled = self.registry.note_rollout(0, now).everywhere;
        Progress {
            everywhere: settled.then_some(everywhere),
            lagging,
        }
    }

    /// The nodes that live.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let roster = control::Roster::new(7, lease, now);
    /// assert_eq!(roster.members().count(), 0);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.registry.members()
    }

    /// The nodes that live. A drained target shows as leaving.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let roster = control::Roster::new(7, lease, now);
    /// assert!(roster.view(&Default::default()).nodes.is_empty());
    /// ```
    #[must_use]
    pub fn view(&self, drained: &BTreeSet<String>) -> MemberView {
        let view = self.registry.view();
        let nodes = view.nodes.iter().map(|node| shown(node, drained));
        MemberView {
            term: view.term,
            version: view.version,
            settled: view.settled,
            nodes: nodes.collect(),
            ..MemberView::default()
        }
    }

    /// What a node that holds `version` of the view of `term` is to be told: nothing,
    /// what changed since, or the whole view.
    ///
    /// ```
    /// # use std::time::{Duration, Instant};
    /// let (now, lease) = (Instant::now(), Duration::from_secs(3));
    /// let roster = control::Roster::new(7, lease, now);
    /// assert!(roster.news(7, roster.version(), &Default::default()).is_none());
    /// assert_eq!(roster.news(6, 40, &Default::default()).unwrap().since, 0);
    /// ```
    #[must_use]
    pub fn news(&self, term: u64, version: u64, drained: &BTreeSet<String>) -> Option<MemberView> {
        let same_term = term == self.term;
        if same_term && version == self.version() {
            return None;
        }
        let changes = same_term.then(|| self.registry.changes_since(version));
        let Some(changes) = changes.flatten() else {
            return Some(self.view(drained));
        };
        let nodes = changes.nodes.iter().map(|node| shown(node, drained));
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
