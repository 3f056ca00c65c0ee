//! Tests of single protocol rules, each with messages that would violate it.

use bytes::Bytes;
use quorum::{
    Config, DiskId, Entry, EntryBody, HardState, LeadershipError, Members, Message, MessageBody,
    Node, Peer, PersistedState, Ready, Snapshot, VoterReplacement,
};
use std::time::{Duration, Instant};

const ME: DiskId = DiskId(1);
const SECOND: DiskId = DiskId(2);
const THIRD: DiskId = DiskId(3);

/// A replica in a cluster of three voters, with a simulated clock.
struct Fixture {
    node: Node,
    now: Instant,
    cfg: Config,
}

impl Fixture {
    fn new(hard_state: HardState, entries: Vec<Entry>) -> Fixture {
        let mut members = Members::default();
        for id in [ME, SECOND, THIRD] {
            members.voters.insert(id, Peer::new(&id.to_string(), ""));
        }
        let persisted = PersistedState {
            hard_state,
            snapshot: Some(Snapshot::initial(members)),
            entries,
        };
        let (cfg, now) = (Config::default(), Instant::now());
        let node = Node::new(ME, cfg.clone(), 7, persisted, now);
        Fixture { node, now, cfg }
    }

    /// Replaces the replica by a new one with the current configuration.
    fn restart(&mut self) {
        let mut members = Members::default();
        for id in [ME, SECOND, THIRD] {
            members.voters.insert(id, Peer::new(&id.to_string(), ""));
        }
        let persisted = PersistedState {
            snapshot: Some(Snapshot::initial(members)),
            ..PersistedState::default()
        };
        self.node = Node::new(ME, self.cfg.clone(), 7, persisted, self.now);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.node.tick(self.now);
    }

    /// Ticks as often as a process that runs all the time.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.advance(self.cfg.heartbeat_interval.min(end - self.now));
        }
    }

    fn receive(&mut self, from: DiskId, term: u64, body: MessageBody) {
        let to = ME;
        let message = Message {
            from,
            to,
            term,
            body,
        };
        self.node.step(message, self.now);
    }

    /// Processes all pending actions, syncs all writes and returns the actions.
    fn sync(&mut self) -> Vec<Ready> {
        let mut readies = Vec::new();
        loop {
            let ready = self.node.ready();
            if ready.is_empty() {
                return readies;
            }
            if let Some(write) = &ready.write {
                self.node.persisted(write.number, self.now);
            }
            readies.push(ready);
        }
    }

    /// Elects the replica with the vote of the second voter and returns the
    /// term.
    fn become_leader(&mut self) -> u64 {
        self.advance(self.cfg.election_timeout * 2);
        let term = self.node.term() + 1;
        let granted = true;
        self.receive(
            SECOND,
            term,
            MessageBody::VoteReply {
                pre_vote: true,
                granted,
            },
        );
        self.sync();
        self.receive(
            SECOND,
            term,
            MessageBody::VoteReply {
                pre_vote: false,
                granted,
            },
        );
        assert!(self.node.is_leader());
        self.sync();
        term
    }

    fn ack_append(&mut self, from: DiskId, index: u64, round: u64) {
        let term = self.node.term();
        let accepted = true;
        let body = MessageBody::AppendReply {
            accepted,
            index,
            round,
        };
        self.receive(from, term, body);
    }
}

fn entry(index: u64, term: u64) -> Entry {
    let body = EntryBody::Command(format!("{index}/{term}").into());
    Entry { index, term, body }
}

fn append(previous: (u64, u64), commit: u64, entries: Vec<Entry>) -> MessageBody {
    MessageBody::Append {
        previous_index: previous.0,
        previous_term: previous.1,
        commit,
        round: 1,
        entries,
    }
}

fn committed_indices(readies: &[Ready]) -> Vec<u64> {
    let entries = readies.iter().flat_map(|ready| &ready.committed);
    entries.map(|entry| entry.index).collect()
}

/// A leader must not commit an entry of an earlier term just because a majority
/// holds it (figure 3.7 of the dissertation). A later leader may still replace
/// the entry, and an acknowledged entry would be lost.
#[test]
fn commit_earlier_term() {
    let hard_state = HardState {
        term: 2,
        ..HardState::default()
    };
    let mut fixture = Fixture::new(hard_state, vec![entry(1, 1), entry(2, 2)]);
    fixture.become_leader();
    fixture.ack_append(SECOND, 2, 1);
    assert!(committed_indices(&fixture.sync()).is_empty());
    fixture.ack_append(SECOND, 3, 1);
    assert_eq!(committed_indices(&fixture.sync()), [1, 2, 3]);
}

/// An entry is replaced by another leader before the sync of its write is
/// reported. The report must not count as a sync of the new entry, which a
/// crash could still undo.
#[test]
fn persisted_replaced_entry() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.receive(SECOND, 1, append((0, 0), 0, vec![entry(1, 1), entry(2, 1)]));
    let first = fixture.node.ready().write.unwrap();
    fixture.receive(THIRD, 2, append((0, 0), 1, vec![entry(1, 2)]));
    let second = fixture.node.ready().write.unwrap();
    fixture.node.persisted(first.number, fixture.now);
    assert!(fixture.node.ready().committed.is_empty());
    fixture.node.persisted(second.number, fixture.now);
    assert_eq!(committed_indices(&[fixture.node.ready()]), [1]);
}

/// The disk of the leader is full, but the other voters have synced an entry.
/// The entry is committed, and reads on the leader must not block until there
/// is room on its disk.
#[test]
fn read_on_full_disk() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    fixture.ack_append(SECOND, 1, 1);
    fixture.sync();
    let (index, _) = fixture.node.propose("note".into(), fixture.now).unwrap();
    let ready = fixture.node.ready();
    assert!(ready.write.is_some());
    // The write is never reported as synced.
    fixture.ack_append(SECOND, index, 1);
    fixture.ack_append(THIRD, index, 1);
    assert_eq!(
        committed_indices(&[fixture.node.ready()]).last(),
        Some(&index)
    );
    fixture.node.read(1).unwrap();
    fixture.node.start_read_round(fixture.now);
    fixture.ack_append(SECOND, index, 2);
    assert_eq!(fixture.node.ready().confirmed_reads, [(1, index)]);
}

/// A vote must not be sent before it is synced. After a power loss the replica
/// could vote again, and the term could have two leaders.
#[test]
fn vote_before_sync() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.now += fixture.cfg.election_timeout;
    let body = MessageBody::VoteRequest {
        pre_vote: false,
        last_index: 0,
        last_term: 0,
    };
    fixture.receive(SECOND, 1, body);
    let ready = fixture.node.ready();
    assert!(ready.messages.is_empty());
    fixture
        .node
        .persisted(ready.write.unwrap().number, fixture.now);
    assert_eq!(fixture.node.ready().messages.len(), 1);
}

/// A voter restarts just after it has answered a leader, and a candidate that
/// cannot reach the leader requests its vote at once. The lease of the leader
/// still depends on that answer; granting the vote could lead to two leaders
/// with a lease.
#[test]
fn vote_after_restart() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    let body = MessageBody::VoteRequest {
        pre_vote: true,
        last_index: 0,
        last_term: 0,
    };
    fixture.receive(SECOND, 1, body.clone());
    let sent = fixture.node.ready().messages;
    let refused = MessageBody::VoteReply {
        pre_vote: true,
        granted: false,
    };
    assert_eq!(sent[0].body, refused);
    fixture.now += fixture.cfg.election_timeout;
    fixture.receive(SECOND, 1, body);
    let granted = MessageBody::VoteReply {
        pre_vote: true,
        granted: true,
    };
    assert_eq!(fixture.node.ready().messages[0].body, granted);
}

/// A leader is partitioned from the other voters. It must stop accepting
/// proposals before another leader can be elected, and then step down, so that
/// callers are redirected instead of waiting.
#[test]
fn propose_isolated_leader() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    fixture.ack_append(SECOND, 1, 1);
    assert!(fixture.node.propose("one".into(), fixture.now).is_ok());
    fixture.run(fixture.cfg.lease_duration());
    let refused = fixture.node.propose("two".into(), fixture.now);
    assert_eq!(refused, Err(LeadershipError::NoLease));
    fixture.run(fixture.cfg.election_timeout);
    let refused = fixture.node.propose("three".into(), fixture.now);
    assert_eq!(refused, Err(LeadershipError::NotLeader));
}

/// A read reaches a leader that has just been replaced without knowing it. The
/// read must wait until a majority has answered a round that started after the
/// read; otherwise it could return stale state.
#[test]
fn read_needs_later_round() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    fixture.ack_append(SECOND, 1, 1);
    fixture.sync();
    fixture.node.read(9).unwrap();
    fixture.node.start_read_round(fixture.now);
    // A delayed reply to the earlier round.
    fixture.ack_append(THIRD, 1, 1);
    assert!(
        fixture
            .sync()
            .iter()
            .all(|ready| ready.confirmed_reads.is_empty())
    );
    fixture.ack_append(THIRD, 1, 2);
    let reads: Vec<_> = fixture
        .sync()
        .into_iter()
        .flat_map(|r| r.confirmed_reads)
        .collect();
    assert_eq!(reads, [(9, 1)]);
}

/// When an isolated leader steps down, its pending reads must be refused at
/// once. Otherwise callers would wait for their own timeouts.
#[test]
fn read_refused_on_step_down() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    fixture.node.read(9).unwrap();
    fixture.run(fixture.cfg.election_timeout * 2);
    let refused: Vec<_> = fixture
        .sync()
        .into_iter()
        .flat_map(|r| r.refused_reads)
        .collect();
    assert_eq!(refused, [9]);
}

/// Guards against a leader that steps down because its process stood still for longer than an
/// election timeout, before it has seen the replies that came meanwhile.
#[test]
fn tick_late() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    fixture.ack_append(SECOND, 1, 1);
    fixture.advance(fixture.cfg.election_timeout * 3);
    assert!(!fixture.node.has_lease(fixture.now));
    fixture.ack_append(SECOND, 1, 2);
    fixture.run(fixture.cfg.election_timeout / 2);
    assert!(fixture.node.is_leader());
    fixture.run(fixture.cfg.election_timeout);
    assert!(!fixture.node.is_leader());
}

/// Guards against a single replica that steps down because its process stood still for longer
/// than an election timeout.
#[test]
fn tick_late_alone() {
    let mut members = Members::default();
    members.voters.insert(ME, Peer::new("1", ""));
    let persisted = PersistedState {
        snapshot: Some(Snapshot::initial(members)),
        ..PersistedState::default()
    };
    let (cfg, now) = (Config::default(), Instant::now());
    let node = Node::new(ME, cfg.clone(), 7, persisted, now);
    let mut fixture = Fixture { node, now, cfg };
    fixture.run(fixture.cfg.election_timeout * 2);
    fixture.sync();
    assert!(fixture.node.has_lease(fixture.now));
    fixture.advance(fixture.cfg.election_timeout * 3);
    assert!(fixture.node.has_lease(fixture.now));
}

/// A new replica answers the leader but holds no entries yet. If it became a
/// voter now, a majority could depend on it long before it has caught up.
#[test]
fn promote_only_caught_up() {
    let newcomer = DiskId(4);
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    fixture.ack_append(SECOND, 1, 1);
    fixture.sync();
    let term = fixture.node.term();
    let peer = Peer::new("newcomer", "");
    let id = newcomer;
    fixture.receive(newcomer, 0, MessageBody::Join { id, peer });
    fixture.ack_append(SECOND, 2, 1);
    for round in 2..6 {
        fixture.advance(fixture.cfg.heartbeat_interval);
        fixture.ack_append(SECOND, 2, round);
        let body = MessageBody::AppendReply {
            accepted: false,
            index: 0,
            round,
        };
        fixture.receive(newcomer, term, body);
        fixture.sync();
    }
    assert!(fixture.node.members().learners.contains_key(&newcomer));
    fixture.ack_append(newcomer, 2, 6);
    fixture.advance(fixture.cfg.heartbeat_interval);
    assert!(fixture.node.members().voters.contains_key(&newcomer));
}

/// The leader that added a new replica is lost before the change is committed.
/// The replica already holds entries, but no other replica knows of it. It must
/// ask to join again, or it would never become a member.
#[test]
fn should_join_after_lost_change() {
    let newcomer = DiskId(9);
    let mut now = Instant::now();
    let cfg = Config::default();
    let mut node = Node::new(newcomer, cfg.clone(), 7, PersistedState::default(), now);
    assert!(node.should_join(now));
    let mut members = Members::default();
    members.voters.insert(SECOND, Peer::new("second", ""));
    members.learners.insert(newcomer, Peer::new("newcomer", ""));
    let body = EntryBody::Members(members);
    let entries = vec![Entry {
        index: 1,
        term: 1,
        body,
    }];
    let body = append((0, 0), 0, entries);
    let message = Message {
        from: SECOND,
        to: newcomer,
        term: 1,
        body,
    };
    node.step(message, now);
    assert!(!node.should_join(now));
    now += cfg.election_timeout;
    assert!(node.should_join(now));
}

/// A message addressed to the former disk of the host must be ignored.
#[test]
fn step_other_disk() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.now += fixture.cfg.election_timeout;
    let body = MessageBody::VoteRequest {
        pre_vote: false,
        last_index: 0,
        last_term: 0,
    };
    let former = DiskId(8);
    let message = Message {
        from: SECOND,
        to: former,
        term: 1,
        body,
    };
    fixture.node.step(message, fixture.now);
    assert!(fixture.node.ready().write.is_none());
}

fn join(fixture: &mut Fixture, from: DiskId, name: &str) {
    let peer = Peer::new(name, "");
    let id = from;
    fixture.receive(from, 0, MessageBody::Join { id, peer });
}

/// Guards against a replica on a new disk that is never added because it knows
/// no address of the leader: a follower forwards the request, once.
#[test]
fn join_forwarded_to_leader() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    let heartbeat = MessageBody::Append {
        previous_index: 0,
        previous_term: 0,
        commit: 0,
        round: 1,
        entries: Vec::new(),
    };
    fixture.receive(SECOND, 1, heartbeat);
    fixture.sync();
    let id = DiskId(9);
    let peer = Peer::new("host-9", "127.0.0.1:9");
    let body = MessageBody::Join { id, peer };
    let forwarded = |fixture: &mut Fixture, from| {
        fixture.receive(from, 0, body.clone());
        let readies = fixture.sync().into_iter();
        let messages = readies.flat_map(|ready| ready.messages);
        let joins = messages.filter(|message| message.body == body);
        joins.map(|message| message.to).collect::<Vec<_>>()
    };
    assert_eq!(forwarded(&mut fixture, id), [SECOND]);
    assert!(forwarded(&mut fixture, THIRD).is_empty());
}

/// Runs heartbeat rounds that the given live replicas answer.
fn run_rounds(fixture: &mut Fixture, live: &[DiskId], rounds: u32) {
    for _ in 0..rounds {
        fixture.advance(fixture.cfg.heartbeat_interval);
        let readies = fixture.sync();
        for message in readies.into_iter().flat_map(|ready| ready.messages) {
            let MessageBody::Append {
                previous_index,
                entries,
                round,
                ..
            } = message.body
            else {
                continue;
            };
            if live.contains(&message.to) {
                let index = previous_index + entries.len() as u64;
                fixture.ack_append(message.to, index, round);
            }
        }
        fixture.sync();
    }
}

/// A host is permanently lost and a replica on a new host joins under another
/// name. If it were only added, there would be four voters of which one is
/// lost, and the next loss would stop the cluster.
#[test]
fn promote_replaces_lost_voter() {
    let lost_after = Duration::from_secs(10);
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.cfg.voter_replacement = Some(VoterReplacement {
        voters: 3,
        lost_after,
    });
    fixture.restart();
    fixture.become_leader();
    let replacement = DiskId(9);
    run_rounds(&mut fixture, &[SECOND], 5);
    join(&mut fixture, replacement, "host-9");
    run_rounds(&mut fixture, &[SECOND, replacement], 20);
    let members = fixture.node.members().clone();
    assert!(
        members.voters.contains_key(&THIRD),
        "third voter replaced too early"
    );
    assert!(members.learners.contains_key(&replacement));
    run_rounds(&mut fixture, &[SECOND, replacement], 60);
    let voters: Vec<DiskId> = fixture.node.members().voters.keys().copied().collect();
    assert_eq!(voters, [ME, SECOND, replacement]);
}

/// While all voters are up, one further replica becomes a standby voter, so that a host that
/// is replaced on purpose and a lost disk don't cost the majority. Others remain learners.
#[test]
fn promote_one_beyond_desired_voters() {
    let lost_after = Duration::from_secs(5);
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.cfg.voter_replacement = Some(VoterReplacement {
        voters: 3,
        lost_after,
    });
    fixture.restart();
    fixture.become_leader();
    let (standby, spare) = (DiskId(8), DiskId(9));
    run_rounds(&mut fixture, &[SECOND, THIRD], 5);
    join(&mut fixture, standby, "host-8");
    run_rounds(&mut fixture, &[SECOND, THIRD, standby], 80);
    join(&mut fixture, spare, "host-9");
    run_rounds(&mut fixture, &[SECOND, THIRD, standby, spare], 80);
    let voters: Vec<DiskId> = fixture.node.members().voters.keys().copied().collect();
    assert_eq!(voters, [ME, SECOND, THIRD, standby]);
    assert!(fixture.node.members().learners.contains_key(&spare));
}

/// Guards against a standby voter while a voter is down: the cluster would need all others.
#[test]
fn promote_no_standby_while_voter_silent() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.cfg.voter_replacement = Some(VoterReplacement {
        voters: 3,
        lost_after: Duration::from_mins(1),
    });
    fixture.restart();
    fixture.become_leader();
    let further = DiskId(9);
    run_rounds(&mut fixture, &[SECOND], 20);
    join(&mut fixture, further, "host-9");
    run_rounds(&mut fixture, &[SECOND, further], 80);
    assert_eq!(fixture.node.members().voters.len(), 3);
    assert!(fixture.node.members().learners.contains_key(&further));
}

/// Guards against a host that was replaced on purpose and counts as a voter for good.
#[test]
fn promote_lost_voter_removed_beside_standby() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.cfg.voter_replacement = Some(VoterReplacement {
        voters: 3,
        lost_after: Duration::from_secs(5),
    });
    fixture.restart();
    fixture.become_leader();
    let standby = DiskId(9);
    run_rounds(&mut fixture, &[SECOND, THIRD], 5);
    join(&mut fixture, standby, "host-9");
    run_rounds(&mut fixture, &[SECOND, THIRD, standby], 20);
    run_rounds(&mut fixture, &[SECOND, standby], 80);
    let voters: Vec<DiskId> = fixture.node.members().voters.keys().copied().collect();
    assert_eq!(voters, [ME, SECOND, standby]);
}

/// A voter is paused for so long that another replica replaces it. It is not
/// told, and without a join request it would request votes forever without
/// getting one.
#[test]
fn should_join_after_long_silence() {
    let lost_after = Duration::from_secs(5);
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.cfg.voter_replacement = Some(VoterReplacement {
        voters: 3,
        lost_after,
    });
    fixture.restart();
    fixture.advance(fixture.cfg.election_timeout);
    assert!(!fixture.node.should_join(fixture.now));
    fixture.advance(fixture.cfg.election_timeout * 3);
    assert!(fixture.node.should_join(fixture.now));
}

/// Guards against an entry that is applied after a restart although its leader was deposed
/// before it was committed.
#[test]
fn new_uncommitted_entry() {
    let hard_state = HardState {
        term: 2,
        commit_index: 2,
        ..HardState::default()
    };
    let entries = vec![entry(1, 1), entry(2, 2), entry(3, 2)];
    let mut fixture = Fixture::new(hard_state, entries);
    assert_eq!(committed_indices(&fixture.sync()), [1, 2]);
}

/// Guards against a replica that, after a loss of power, knows nothing of what is committed
/// until a leader is elected.
#[test]
fn tick_commit_persisted() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    let append = |commit, entries| MessageBody::Append {
        previous_index: 0,
        previous_term: 0,
        commit,
        round: 1,
        entries,
    };
    fixture.receive(SECOND, 1, append(0, vec![entry(1, 1)]));
    fixture.sync();
    fixture.receive(SECOND, 1, append(1, Vec::new()));
    fixture.receive(SECOND, 1, append(1, vec![entry(1, 1)]));
    assert_eq!(committed_indices(&fixture.sync()), [1]);
    fixture.advance(Duration::from_millis(1));
    let writes: Vec<u64> = fixture
        .sync()
        .into_iter()
        .filter_map(|ready| Some(ready.write?.hard_state.commit_index))
        .collect();
    assert_eq!(writes, [1]);
    fixture.advance(Duration::from_millis(1));
    assert!(fixture.sync().is_empty());
}

/// Guards against a commit index on the disk that covers entries which are not on it yet: a
/// crash would leave it over the entries that they replace.
#[test]
fn commit_persisted_after_entries() {
    let mut fixture = Fixture::new(HardState::default(), vec![entry(1, 1)]);
    let body = MessageBody::Append {
        previous_index: 0,
        previous_term: 0,
        commit: 1,
        round: 1,
        entries: vec![entry(1, 2)],
    };
    fixture.receive(SECOND, 2, body);
    let write = fixture.node.ready().write.unwrap();
    assert_eq!(write.entries, [entry(1, 2)]);
    assert_eq!(write.hard_state.commit_index, 0);
}

fn large_entry(index: u64, term: u64, bytes: usize) -> Entry {
    Entry {
        index,
        term,
        body: EntryBody::Command(vec![0; bytes].into()),
    }
}

/// Entries that a leader sends to a replica.
fn entries_sent(readies: &[Ready], to: DiskId) -> Vec<u64> {
    let messages = readies.iter().flat_map(|ready| &ready.messages);
    let sent = messages.filter(|message| message.to == to);
    sent.flat_map(|message| match &message.body {
        MessageBody::Append { entries, .. } => entries.iter().map(|e| e.index).collect(),
        _ => Vec::new(),
    })
    .collect()
}

/// Guards against a leader that holds many large entries for each replica in its memory.
#[test]
fn replicate_large_entries() {
    let entries = (1..=20).map(|index| large_entry(index, 0, 1 << 20));
    let mut fixture = Fixture::new(HardState::default(), entries.collect());
    fixture.become_leader();
    // The noop of the new term follows the large entries.
    fixture.ack_append(SECOND, 1, 1);
    let sent = entries_sent(&fixture.sync(), SECOND);
    assert_eq!(sent, [2, 3, 4, 5]);
    fixture.ack_append(SECOND, 3, 1);
    assert_eq!(entries_sent(&fixture.sync(), SECOND), [6, 7]);
}

/// Number of entries in an append, for each append to one replica.
fn append_lengths(readies: &[Ready], to: DiskId) -> Vec<usize> {
    let messages = readies.iter().flat_map(|ready| &ready.messages);
    let lengths = messages.filter_map(|message| match &message.body {
        MessageBody::Append { entries, .. } if message.to == to => Some(entries.len()),
        _ => None,
    });
    lengths.collect()
}

/// Guards against entries of a probe that each heartbeat repeats.
#[test]
fn heartbeat_during_probe() {
    let entries = (1..=4).map(|index| large_entry(index, 0, 1 << 20));
    let mut fixture = Fixture::new(HardState::default(), entries.collect());
    let term = fixture.become_leader();
    let body = MessageBody::AppendReply {
        accepted: false,
        index: 2,
        round: 1,
    };
    fixture.receive(THIRD, term, body);
    assert_eq!(append_lengths(&fixture.sync(), THIRD), [1]);
    for round in 2..5 {
        fixture.advance(fixture.cfg.heartbeat_interval);
        assert_eq!(append_lengths(&fixture.sync(), THIRD), [0]);
        fixture.ack_append(SECOND, 5, round);
    }
    // The entries of the probe were lost, and the reply to a heartbeat ends it.
    fixture.ack_append(THIRD, 2, 4);
    assert_eq!(entries_sent(&fixture.sync(), THIRD), [3, 4, 5]);
}

/// Guards against heartbeats that wait behind large entries for all replicas at once.
#[test]
fn replicate_large_entry_to_all() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    for replica in [SECOND, THIRD] {
        fixture.ack_append(replica, 1, 1);
    }
    fixture.sync();
    let command = vec![0; 4 << 20];
    let now = fixture.now;
    fixture.node.propose(command.into(), now).unwrap();
    let sent = fixture.sync();
    let lengths = |readies: &[Ready]| {
        let of = |id| append_lengths(readies, id).into_iter().sum::<usize>();
        (of(SECOND), of(THIRD))
    };
    let first = match lengths(&sent) {
        (1, 0) => SECOND,
        (0, 1) => THIRD,
        other => panic!("{other:?}"),
    };
    fixture.ack_append(first, 2, 1);
    let (second, third) = lengths(&fixture.sync());
    assert_eq!(second + third, 1);
}

/// Guards against a replica that is cut off with large entries in flight and keeps all others
/// from getting theirs.
#[test]
fn replicate_large_entry_beside_silent() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    for replica in [SECOND, THIRD] {
        fixture.ack_append(replica, 1, 1);
    }
    fixture.sync();
    let now = fixture.now;
    let command = vec![0; 4 << 20];
    fixture.node.propose(command.into(), now).unwrap();
    let sent = fixture.sync();
    let silent = if append_lengths(&sent, SECOND) == [1] {
        SECOND
    } else {
        THIRD
    };
    let other = if silent == SECOND { THIRD } else { SECOND };
    let mut lengths = Vec::new();
    for round in 2..20 {
        fixture.advance(fixture.cfg.heartbeat_interval);
        lengths.extend(append_lengths(&fixture.sync(), other));
        fixture.ack_append(other, 1, round);
    }
    assert!(lengths.contains(&1), "{lengths:?}");
}

/// Guards against commands without bound that are not committed, because the followers are
/// slow, frozen or cut off.
#[test]
fn propose_uncommitted_bytes() {
    let mut fixture = Fixture::new(HardState::default(), Vec::new());
    fixture.become_leader();
    fixture.ack_append(SECOND, 1, 1);
    let now = fixture.now;
    let mut propose = || fixture.node.propose(vec![0; 1 << 20].into(), now);
    // With the other fields of the entries, the eighth exceeds 8 MiB.
    for _ in 0..7 {
        propose().unwrap();
    }
    assert_eq!(propose(), Err(LeadershipError::TooMuchUncommitted));
    fixture.sync();
    fixture.ack_append(SECOND, 3, 1);
    fixture.sync();
    let now = fixture.now;
    for accepted in [true, true, false] {
        let proposed = fixture.node.propose(vec![0; 1 << 20].into(), now);
        assert_eq!(proposed.is_ok(), accepted);
    }
}

/// Guards against a log that stays in memory whole, however large its entries are.
#[test]
fn compact_large_entries() {
    // The leader keeps 7 of the entries, as 8 exceed 8 MiB.
    for (held, is_in_log) in [(12, false), (13, true)] {
        let entries = (1..=20).map(|index| large_entry(index, 0, 1 << 20));
        let hard_state = HardState {
            commit_index: 20,
            ..HardState::default()
        };
        let mut fixture = Fixture::new(hard_state, entries.collect());
        assert_eq!(committed_indices(&fixture.sync()).len(), 20);
        let (index, term) = fixture.node.last_applied();
        fixture.node.compact(Snapshot {
            index,
            term,
            members: fixture.node.members().clone(),
            data: Bytes::new(),
        });
        let term = fixture.become_leader();
        let body = MessageBody::AppendReply {
            accepted: false,
            index: held,
            round: 1,
        };
        fixture.receive(THIRD, term, body);
        let sent = entries_sent(&fixture.sync(), THIRD);
        assert_eq!(sent.first() == Some(&(held + 1)), is_in_log, "{held}");
    }
}
