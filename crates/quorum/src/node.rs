//! One replica.

mod election;
mod inspect;
mod install;
mod membership;
mod output;
mod replicate;
mod serve;

use crate::incoming::Incoming;
use crate::leader::Leader;
use crate::log::Log;
use crate::{
    Config, DiskId, Entry, EntryBody, HardState, Members, Message, MessageBody, PersistedState,
    Snapshot,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// What a replica is at the moment.
#[derive(Debug)]
enum Role {
    Follower,
    /// Asks whether it would be elected; its term is as before (section 9.6).
    PreCandidate(BTreeMap<DiskId, bool>),
    Candidate(BTreeMap<DiskId, bool>),
    Leader(Box<Leader>),
}

/// A write that was handed out, and the end of the log at that time.
#[derive(Clone, Copy, Debug)]
struct Issued {
    number: u64,
    index: u64,
    term: u64,
}

/// One replica.
#[derive(Debug)]
pub struct Node {
    id: DiskId,
    cfg: Config,
    rng: StdRng,
    hard: HardState,
    role: Role,
    log: Log,
    /// Members by the index that set them; the last one holds.
    members: Vec<(u64, Members)>,
    snapshot: Snapshot,
    commit: u64,
    applied: u64,
    /// Last entry that is synced here.
    stable: u64,
    /// Last entry that was handed out to be synced.
    handed: u64,
    leader: Option<DiskId>,
    /// When a leader was last heard; the start counts as well, since what was
    /// promised before a restart is not known any more.
    heard: Instant,
    election_at: Instant,
    hard_changed: bool,
    incoming: Option<Incoming>,
    /// Received whole, not yet handed out to be synced.
    received: Option<Snapshot>,
    /// Handed out to be synced, by the number of its write.
    restoring: Option<(u64, Snapshot)>,
    restore: Option<Snapshot>,
    writes: u64,
    issued: VecDeque<Issued>,
    /// Messages that wait until the write of that number is synced.
    held: VecDeque<(u64, Message)>,
    out: Vec<Message>,
    reads: Vec<(u64, u64)>,
    refused_reads: Vec<u64>,
}

impl Node {
    /// A replica that starts with what its disk holds. `seed` makes the
    /// election timeouts differ between replicas. The crate page shows it.
    ///
    /// ```
    /// # use quorum::*;
    /// # let now = std::time::Instant::now();
    /// let node = Node::new(DiskId(1), Config::default(), 7, PersistedState::default(), now);
    /// assert!(node.should_join(now));
    /// ```
    #[must_use]
    pub fn new(id: DiskId, cfg: Config, seed: u64, restored: PersistedState, now: Instant) -> Node {
        let blank = restored.snapshot.is_none();
        let snapshot = restored.snapshot.unwrap_or_default();
        let mut log = Log::new(snapshot.index, snapshot.term);
        let mut members = vec![(snapshot.index, snapshot.members.clone())];
        for entry in restored.entries {
            if let EntryBody::Members(now) = &entry.body {
                members.push((entry.index, now.clone()));
            }
            log.push(entry);
        }
        let last = log.last_index();
        let restore = (!blank).then(|| snapshot.clone());
        let mut node = Node {
            id,
            cfg,
            rng: StdRng::seed_from_u64(seed),
            hard: restored.hard_state,
            role: Role::Follower,
            log,
            members,
            commit: snapshot.index,
            applied: snapshot.index,
            snapshot,
            stable: last,
            handed: last,
            leader: None,
            heard: now,
            election_at: now,
            hard_changed: false,
            incoming: None,
            received: None,
            restoring: None,
            restore,
            writes: 0,
            issued: VecDeque::new(),
            held: VecDeque::new(),
            out: Vec::new(),
            reads: Vec::new(),
            refused_reads: Vec::new(),
        };
        node.put_off_election(now);
        node
    }

    /// Moves the time on: heartbeats, elections, loss of a majority.
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
            self.lead(now);
        } else if now >= self.election_at && self.is_voter() {
            self.ask_for_election(now);
        }
    }

    /// Takes a message. Any message may come late, twice or never.
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
        if let MessageBody::Join { peer } = message.body {
            return self.take_in(message.from, peer, now);
        }
        if !self.enter_term(&message, now) {
            return;
        }
        let from = message.from;
        match message.body {
            MessageBody::VoteRequest {
                pre_vote,
                last_index,
                last_term,
            } => self.answer_vote(from, message.term, pre_vote, (last_term, last_index), now),
            MessageBody::VoteReply { pre_vote, granted } => {
                self.count_vote(from, pre_vote, granted, now);
            }
            MessageBody::Append {
                previous_index,
                previous_term,
                commit,
                round,
                entries,
            } => {
                self.follow(from, now);
                self.append((previous_index, previous_term), entries, commit, round);
            }
            MessageBody::AppendReply {
                accepted,
                index,
                round,
            } => self.appended(from, accepted, index, round, now),
            MessageBody::InstallSnapshot { .. } => {
                self.follow(from, now);
                self.install(message.body);
            }
            MessageBody::SnapshotReply {
                index,
                offset,
                done,
                round,
            } => self.installed(from, (index, offset), done, round, now),
            MessageBody::Join { .. } => {}
        }
    }

    fn is_voter(&self) -> bool {
        self.members().voters.contains_key(&self.id)
    }

    fn put_off_election(&mut self, now: Instant) {
        use rand::RngExt;
        let span = u64::try_from(self.cfg.election_timeout.as_micros()).unwrap_or(u64::MAX);
        let more = self.rng.random_range(0..=span);
        self.election_at = now + self.cfg.election_timeout + Duration::from_micros(more);
    }

    /// Appends an entry of this leader's own.
    fn order(&mut self, body: EntryBody) -> u64 {
        let index = self.log.last_index() + 1;
        if let EntryBody::Members(members) = &body {
            self.members.push((index, members.clone()));
        }
        let term = self.hard.term;
        self.log.push(Entry { index, term, body });
        index
    }
}
