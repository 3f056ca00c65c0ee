//! Simulated hosts with their disks and replicas.

use bytes::Bytes;
use quorum::{
    Config, DiskId, Entry, EntryBody, HardState, Members, Message, Node, Peer, PersistedState,
    Snapshot, VoterReplacement, Write,
};
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

pub const STEP: Duration = Duration::from_millis(10);
const HEARTBEAT: Duration = Duration::from_millis(40);
const ELECTION: Duration = Duration::from_millis(400);
/// Silence after which another host replaces a voter.
const LOST_AFTER: Duration = Duration::from_millis(600);
/// Number of applied entries between two snapshots.
const SNAPSHOT_EVERY: u64 = 12;

/// Synced contents of a disk.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub id: DiskId,
    hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    entries: BTreeMap<u64, Entry>,
}

/// A disk operation that is not synced yet.
#[derive(Clone, Debug)]
pub enum Job {
    Write(Write),
    Save(Snapshot),
}

impl Disk {
    pub fn new(id: DiskId) -> Disk {
        Disk {
            id,
            ..Disk::default()
        }
    }

    fn apply(&mut self, job: Job) {
        match job {
            Job::Write(write) => {
                if let Some(snapshot) = write.snapshot {
                    self.snapshot = Some(snapshot);
                    self.entries.clear();
                }
                self.hard_state = write.hard_state;
                for entry in write.entries {
                    self.entries.split_off(&entry.index);
                    self.entries.insert(entry.index, entry);
                }
            }
            Job::Save(snapshot) => {
                self.entries = self.entries.split_off(&(snapshot.index + 1));
                self.snapshot = Some(snapshot);
            }
        }
    }

    fn persisted(&self) -> PersistedState {
        PersistedState {
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            entries: self.entries.values().cloned().collect(),
        }
    }
}

/// A running replica with its state machine.
pub struct Running {
    pub node: Node,
    /// State machine: the values by index.
    pub state: BTreeMap<u64, u64>,
    pub applied: u64,
    /// Pending proposals: index, term, value.
    pub proposed: Vec<(u64, u64, u64)>,
    /// Pending reads by token, with the last index acknowledged when the read
    /// was requested.
    pub reads: BTreeMap<u64, u64>,
    pub confirmed: Vec<(u64, u64)>,
    jobs: VecDeque<(u64, Job)>,
    saving: bool,
}

/// A host with its disk and, unless it is stopped, a running replica.
pub struct Host {
    pub name: String,
    pub disk: Disk,
    pub running: Option<Running>,
    /// Hosts whose addresses are in the settings.
    seeds: BTreeSet<usize>,
    /// Desired number of voters, if others replace the lost ones.
    pub desired_voters: Option<usize>,
    /// Silence after which another host replaces a voter.
    pub lost_after: Duration,
    /// Clock rate in percent of real time.
    clock_rate_percent: u32,
    /// Sum of all forward steps of the clock.
    pub clock_offset: Duration,
}

/// Output of a host in one step.
#[derive(Default)]
pub struct Output {
    pub messages: Vec<Message>,
    pub applied: Vec<Entry>,
    pub restored: Option<Snapshot>,
}

impl Host {
    pub fn new(name: String, disk: Disk, seeds: BTreeSet<usize>, rng: &mut StdRng) -> Host {
        Host {
            name,
            disk,
            running: None,
            seeds,
            desired_voters: None,
            lost_after: LOST_AFTER,
            clock_rate_percent: rng.random_range(97..=103),
            clock_offset: Duration::ZERO,
        }
    }

    pub fn now(&self, start: Instant, step: u64) -> Instant {
        let real = STEP * u32::try_from(step).unwrap();
        start + real * self.clock_rate_percent / 100 + self.clock_offset
    }

    /// Returns whether this host runs and knows the address of another one,
    /// from its settings or from the members of the cluster.
    pub fn knows_address(&self, index: usize, other: &Host) -> bool {
        let is_other = |peer: &Peer| peer.address == other.name;
        let Some(Running { node, .. }) = &self.running else {
            return false;
        };
        let Members { voters, learners } = node.members();
        let mut members = voters.values().chain(learners.values());
        self.seeds.contains(&index) || members.any(is_other)
    }

    pub fn start(&mut self, now: Instant, rng: &mut StdRng) {
        let voter_replacement = self.desired_voters.map(|voters| VoterReplacement {
            voters,
            lost_after: self.lost_after,
        });
        let cfg = Config {
            voter_replacement,
            heartbeat_interval: HEARTBEAT,
            election_timeout: ELECTION,
            max_append_entries: 4,
            max_inflight_appends: 3,
            snapshot_chunk_bytes: 24,
            trailing_entries: 5,
            ..Config::default()
        };
        let seed = rng.random();
        let node = Node::new(self.disk.id, cfg, seed, self.disk.persisted(), now);
        self.running = Some(Running {
            node,
            state: BTreeMap::new(),
            applied: 0,
            proposed: Vec::new(),
            reads: BTreeMap::new(),
            confirmed: Vec::new(),
            jobs: VecDeque::new(),
            saving: false,
        });
    }

    /// Kills the process. Any prefix of the unsynced operations may have
    /// reached the disk.
    pub fn kill(&mut self, rng: &mut StdRng) {
        let Some(running) = self.running.take() else {
            return;
        };
        let survivors = rng.random_range(0..=running.jobs.len());
        let mut jobs = running.jobs.into_iter().map(|(_, job)| job);
        for job in jobs.by_ref().take(survivors) {
            self.disk.apply(job);
        }
        if let Some(Job::Write(mut torn)) = jobs.next()
            && torn.snapshot.is_none()
        {
            let complete = rng.random_range(0..=torn.entries.len());
            torn.entries.truncate(complete);
            self.disk.apply(Job::Write(torn));
        }
    }

    /// Replaces the disk by a blank one and stops the replica.
    pub fn lose_disk(&mut self, id: DiskId) {
        self.running = None;
        self.disk = Disk::new(id);
    }

    /// Runs one step: completes due syncs, ticks the replica and processes its
    /// output.
    pub fn advance(
        &mut self,
        now: Instant,
        step: u64,
        slow_percent: u32,
        rng: &mut StdRng,
    ) -> Output {
        let mut output = Output::default();
        let Some(running) = &mut self.running else {
            return output;
        };
        running.sync(&mut self.disk, now, step);
        running.node.tick(now);
        running.process_ready(&mut output, now, (step, slow_percent), rng);
        running.snapshot(step);
        output
    }
}

impl Running {
    fn sync(&mut self, disk: &mut Disk, now: Instant, step: u64) {
        while self.jobs.front().is_some_and(|(due, _)| *due <= step) {
            let (_, job) = self.jobs.pop_front().unwrap();
            disk.apply(job.clone());
            match job {
                Job::Write(write) => self.node.persisted(write.number, now),
                Job::Save(snapshot) => {
                    self.saving = false;
                    self.node.compact(snapshot);
                }
            }
        }
    }

    fn process_ready(
        &mut self,
        output: &mut Output,
        now: Instant,
        disk: (u64, u32),
        rng: &mut StdRng,
    ) {
        let (step, slow_percent) = disk;
        self.node.start_read_round(now);
        loop {
            let ready = self.node.ready();
            if ready.is_empty() {
                return;
            }
            if let Some(write) = ready.write.filter(|w| !w.commit_only || rng.random()) {
                let due = self.jobs.back().map_or(step, |(due, _)| *due);
                let slow = rng.random_range(0..100) < slow_percent;
                let due = due + rng.random_range(0..if slow { 40 } else { 3 });
                self.jobs.push_back((due.max(step + 1), Job::Write(write)));
            }
            output.messages.extend(ready.messages);
            if let Some(snapshot) = ready.restore {
                self.restore(&snapshot);
                output.restored = Some(snapshot);
            }
            for entry in ready.committed {
                self.apply(&entry);
                output.applied.push(entry);
            }
            self.confirmed.extend(ready.confirmed_reads);
            for token in ready.refused_reads {
                self.reads.remove(&token);
            }
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        self.state = decode(&snapshot.data);
        self.applied = snapshot.index;
    }

    fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index, self.applied + 1, "gap in the applied entries");
        self.applied = entry.index;
        if let EntryBody::Command(data) = &entry.body {
            self.state.insert(entry.index, value(data));
        }
    }

    fn snapshot(&mut self, step: u64) {
        let before = self.node.snapshot().index;
        if self.saving || self.applied < before + SNAPSHOT_EVERY {
            return;
        }
        let (index, term) = self.node.last_applied();
        let snapshot = Snapshot {
            index,
            term,
            members: self.node.members_at(index),
            data: encode(&self.state),
        };
        self.saving = true;
        let due = self.jobs.back().map_or(step, |(due, _)| *due);
        self.jobs
            .push_back((due.max(step + 1), Job::Save(snapshot)));
    }
}

pub fn value(data: &Bytes) -> u64 {
    u64::from_le_bytes(data[..].try_into().unwrap())
}

fn encode(state: &BTreeMap<u64, u64>) -> Bytes {
    let mut buf = Vec::new();
    for (index, value) in state {
        buf.extend(index.to_le_bytes());
        buf.extend(value.to_le_bytes());
    }
    buf.into()
}

pub fn decode(data: &Bytes) -> BTreeMap<u64, u64> {
    let number = |b: &[u8]| u64::from_le_bytes(b.try_into().unwrap());
    let pairs = data.chunks(16);
    pairs.map(|p| (number(&p[..8]), number(&p[8..]))).collect()
}
