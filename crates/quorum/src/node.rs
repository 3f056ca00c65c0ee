//! The replica state machine.

mod election;
mod inspect;
mod install;
mod membership;
mod output;
mod quorums;
mod replicate;
mod serve;

use crate::incoming_snapshot::IncomingSnapshot;
use crate::leader::Leader;
use crate::log::Log;
use crate::{
    Config, DiskId, Entry, EntryBody, HardState, Members, Message, MessageBody, PersistedState,
    Snapshot,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Current role of a replica.
#[derive(Debug)]
enum Role {
    Follower,
    /// Runs a pre-vote without changing its term (section 9.6).
    PreCandidate(BTreeMap<DiskId, bool>),
    Candidate(BTreeMap<DiskId, bool>),
    Leader(Box<Leader>),
}

/// A write returned by [`Node::ready`] that is not yet synced, with the end of
/// the log when it was issued.
#[derive(Clone, Copy, Debug)]
struct PendingWrite {
    number: u64,
    index: u64,
    term: u64,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Node {
    id: DiskId,
    cfg: Config,
    rng: StdRng,
    hard_state: HardState,
    role: Role,
    log: Log,
    /// Membership changes with the index of their entry; the last one is in
    /// force.
    membership_history: Vec<(u64, Members)>,
    snapshot: Snapshot,
    /// Index of the first command in the log, or of a snapshot that may cover it.
    first_command: Option<u64>,
    /// Voters of a new cluster on whose hosts another disk is in use.
    lost_disks: BTreeSet<DiskId>,
    /// Voters on whose hosts another disk is in use.
    replaced_disks: BTreeSet<DiskId>,
    /// When this replica last answered a leader, was elected or led with a quorum;
    /// `None` after a restart.
    included_at: Option<Instant>,
    /// Whether the current election of this candidate needs a majority.
    needs_majority: bool,
    commit_index: u64,
    applied_index: u64,
    /// Last entry that is synced on this replica.
    synced_index: u64,
    /// Last entry that was issued in a [`Write`](crate::Write).
    issued_index: u64,
    leader: Option<DiskId>,
    /// When a leader was last heard from. Initialized to the start time,
    /// because this replica may have confirmed a leader just before a restart.
    leader_heard_at: Instant,
    election_deadline: Instant,
    /// Term or vote have changed since the last write.
    hard_state_changed: bool,
    /// The commit index is to be written though nothing else is.
    commit_write_due: bool,
    incoming_snapshot: Option<IncomingSnapshot>,
    /// Completely received, not yet issued in a write.
    received_snapshot: Option<Snapshot>,
    /// Issued in the write of that number, not yet synced.
    pending_restore: Option<(u64, Snapshot)>,
    restore: Option<Snapshot>,
    /// Number of the last write issued.
    last_write: u64,
    pending_writes: VecDeque<PendingWrite>,
    /// Messages to be sent once the write of that number is synced.
    deferred: VecDeque<(u64, Message)>,
    outbox: Vec<Message>,
    confirmed_reads: Vec<(u64, u64)>,
    refused_reads: Vec<u64>,
}

impl Node {
    /// Creates a replica from its persisted state. `seed` seeds the election
    /// timeouts, so that they differ between replicas. See the crate
    /// documentation for a complete example.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(node.should_join(now));
    /// ```
    #[must_use]
    pub fn new(
        id: DiskId,
        cfg: Config,
        seed: u64,
        persisted: PersistedState,
        now: Instant,
    ) -> Node {
        let blank = persisted.snapshot.is_none();
        let snapshot = persisted.snapshot.unwrap_or_default();
        let mut log = Log::new(snapshot.index, snapshot.term);
        let mut membership_history = vec![(snapshot.index, snapshot.members.clone())];
        let mut first_command = (snapshot.index > 0).then_some(snapshot.index);
        for entry in persisted.entries {
            match &entry.body {
                EntryBody::Members(members) => {
                    membership_history.push((entry.index, members.clone()));
                }
                EntryBody::Command(_) => drop(first_command.get_or_insert(entry.index)),
                EntryBody::Noop => {}
            }
            log.push(entry);
        }
        let last = log.last_index();
        let committed = persisted.hard_state.commit_index.min(last);
        let restore = (!blank).then(|| snapshot.clone());
        let mut node = Node {
            id,
            cfg,
            rng: StdRng::seed_from_u64(seed),
            hard_state: persisted.hard_state,
            role: Role::Follower,
            log,
            membership_history,
            commit_index: committed.max(snapshot.index),
            applied_index: snapshot.index,
            snapshot,
            first_command,
            lost_disks: BTreeSet::new(),
            replaced_disks: BTreeSet::new(),
            included_at: None,
            needs_majority: true,
            synced_index: last,
            issued_index: last,
            leader: None,
            leader_heard_at: now,
            election_deadline: now,
            hard_state_changed: false,
            commit_write_due: false,
            incoming_snapshot: None,
            received_snapshot: None,
            pending_restore: None,
            restore,
            last_write: 0,
            pending_writes: VecDeque::new(),
            deferred: VecDeque::new(),
            outbox: Vec::new(),
            confirmed_reads: Vec::new(),
            refused_reads: Vec::new(),
        };
        node.reset_election_deadline(now);
        node
    }

    /// Advances the time: sends heartbeats, starts elections and steps down
    /// from leadership without a majority.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// node.tick(now);
    /// assert!(node.ready().is_empty());
    /// ```
    pub fn tick(&mut self, now: Instant) {
        if self.is_leader() {
            self.tick_leader(now);
        } else if now >= self.election_deadline && self.is_voter() {
            self.start_pre_vote(now);
        }
        self.commit_write_due = self.pending_writes.is_empty()
            && self.persistable_commit() > self.hard_state.commit_index;
    }

    /// Processes a message. Messages may be delayed, duplicated or lost.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let mut node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// let body = MessageBody::VoteRequest { pre_vote: true, last_index: 0, last_term: 0 };
    /// let message = Message { from: DiskId(2), to: DiskId(1), term: 1, body };
    /// node.step(message, now + Config::default().election_timeout);
    /// assert_eq!(node.ready().messages.len(), 1);
    /// ```
    pub fn step(&mut self, message: Message, now: Instant) {
        if message.to != self.id || !message.is_plausible() {
            return;
        }
        self.lost_disks.remove(&message.from);
        self.replaced_disks.remove(&message.from);
        if let MessageBody::Join { id, peer } = message.body {
            self.record_lost_disk(id, &peer, now);
            self.record_replaced_disk(id, &peer, now);
            return self.handle_join(message.from, id, peer, now);
        }
        if !self.check_term(&message, now) {
            return;
        }
        let from = message.from;
        match message.body {
            MessageBody::VoteRequest {
                pre_vote,
                last_index,
                last_term,
            } => {
                self.handle_vote_request(
                    from,
                    message.term,
                    pre_vote,
                    (last_term, last_index),
                    now,
                );
            }
            MessageBody::VoteReply { pre_vote, granted } => {
                self.handle_vote_reply(from, pre_vote, granted, now);
            }
            MessageBody::Append {
                previous_index,
                previous_term,
                commit,
                round,
                entries,
            } => {
                self.accept_leader(from, now);
                self.handle_append((previous_index, previous_term), entries, commit, round);
            }
            MessageBody::AppendReply {
                accepted,
                index,
                round,
            } => self.handle_append_reply(from, accepted, index, round, now),
            MessageBody::InstallSnapshot { .. } => {
                self.accept_leader(from, now);
                self.handle_install_snapshot(message.body);
            }
            MessageBody::SnapshotReply {
                index,
                offset,
                done,
                round,
            } => self.handle_snapshot_reply(from, (index, offset), done, round, now),
            MessageBody::Join { .. } => {}
        }
    }

    fn is_voter(&self) -> bool {
        self.members().voters.contains_key(&self.id)
    }

    fn reset_election_deadline(&mut self, now: Instant) {
        use rand::RngExt;
        let span = u64::try_from(self.cfg.election_timeout.as_micros()).unwrap_or(u64::MAX);
        let jitter = self.rng.random_range(0..=span);
        self.election_deadline = now + self.cfg.election_timeout + Duration::from_micros(jitter);
    }

    /// Appends an entry in the term of this leader and returns its index.
    fn append_as_leader(&mut self, body: EntryBody) -> u64 {
        let index = self.log.last_index() + 1;
        if let EntryBody::Members(members) = &body {
            self.membership_history.push((index, members.clone()));
        }
        self.record_first_command(index, &body);
        let term = self.hard_state.term;
        self.log.push(Entry { index, term, body });
        index
    }
}
