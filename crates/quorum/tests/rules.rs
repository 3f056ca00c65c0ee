//! Single rules of the log, each with the messages that try to break it.

use quorum::{
    Config, DiskId, Entry, EntryBody, HardState, LeadershipError, Members, Message, MessageBody,
    Node, Peer, PersistedState, Ready, Snapshot, VoterReplacement,
};
use std::time::{Duration, Instant};

const ME: DiskId = DiskId(1);
const SECOND: DiskId = DiskId(2);
const THIRD: DiskId = DiskId(3);

/// A replica among three voters, and the time that it is told.
struct Bench {
    node: Node,
    now: Instant,
    cfg: Config,
}

impl Bench {
    fn new(hard_state: HardState, entries: Vec<Entry>) -> Bench {
        let mut members = Members::default();
        for id in [ME, SECOND, THIRD] {
            members.voters.insert(id, Peer::new(&id.to_string(), ""));
        }
        let restored = PersistedState {
            hard_state,
            snapshot: Some(Snapshot::initial(members)),
            entries,
        };
        let (cfg, now) = (Config::default(), Instant::now());
        let node = Node::new(ME, cfg.clone(), 7, restored, now);
        Bench { node, now, cfg }
    }

    /// Starts anew with the settings as they were changed.
    fn rebuild(&mut self) {
        let mut members = Members::default();
        for id in [ME, SECOND, THIRD] {
            members.voters.insert(id, Peer::new(&id.to_string(), ""));
        }
        let restored = PersistedState {
            snapshot: Some(Snapshot::initial(members)),
            ..PersistedState::default()
        };
        self.node = Node::new(ME, self.cfg.clone(), 7, restored, self.now);
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.node.tick(self.now);
    }

    fn hear(&mut self, from: DiskId, term: u64, body: MessageBody) {
        let to = ME;
        let message = Message {
            from,
            to,
            term,
            body,
        };
        self.node.step(message, self.now);
    }

    /// Syncs all that is wanted; gives the last readies together.
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

    /// Makes the replica leader by the second voter's vote.
    fn lead(&mut self) -> u64 {
        self.pass(self.cfg.election_timeout * 2);
        let term = self.node.term() + 1;
        let granted = true;
        self.hear(
            SECOND,
            term,
            MessageBody::VoteReply {
                pre_vote: true,
                granted,
            },
        );
        self.sync();
        self.hear(
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

    fn accept(&mut self, from: DiskId, index: u64, round: u64) {
        let term = self.node.term();
        let accepted = true;
        let body = MessageBody::AppendReply {
            accepted,
            index,
            round,
        };
        self.hear(from, term, body);
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

fn applied(readies: &[Ready]) -> Vec<u64> {
    let entries = readies.iter().flat_map(|ready| &ready.committed);
    entries.map(|entry| entry.index).collect()
}

/// A leader finds an entry of an earlier term on a majority (figure 3.7 of the
/// dissertation). A later leader may still replace it, so whoever was told
/// that it is committed would find it gone.
#[test]
fn commit_earlier_term() {
    let hard = HardState {
        term: 2,
        vote: None,
    };
    let mut bench = Bench::new(hard, vec![entry(1, 1), entry(2, 2)]);
    bench.lead();
    bench.accept(SECOND, 2, 1);
    assert!(applied(&bench.sync()).is_empty());
    bench.accept(SECOND, 3, 1);
    assert_eq!(applied(&bench.sync()), [1, 2, 3]);
}

/// What was written is replaced by another leader's entry before its sync is
/// reported. Taken for the new entry's sync, the report would let a replica
/// act on what a crash still undoes.
#[test]
fn persisted_replaced_entry() {
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.hear(SECOND, 1, append((0, 0), 0, vec![entry(1, 1), entry(2, 1)]));
    let first = bench.node.ready().write.unwrap();
    bench.hear(THIRD, 2, append((0, 0), 1, vec![entry(1, 2)]));
    let second = bench.node.ready().write.unwrap();
    bench.node.persisted(first.number, bench.now);
    assert!(bench.node.ready().committed.is_empty());
    bench.node.persisted(second.number, bench.now);
    assert_eq!(applied(&[bench.node.ready()]), [1]);
}

/// The disk of the leader is full, and the others have synced a note. The
/// note is accepted then; whoever asks the leader must not be kept waiting
/// until somebody has made room.
#[test]
fn read_on_full_disk() {
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.lead();
    bench.accept(SECOND, 1, 1);
    bench.sync();
    let (index, _) = bench.node.propose("note".into(), bench.now).unwrap();
    let ready = bench.node.ready();
    assert!(ready.write.is_some());
    // The write is never reported as synced.
    bench.accept(SECOND, index, 1);
    bench.accept(THIRD, index, 1);
    assert_eq!(applied(&[bench.node.ready()]).last(), Some(&index));
    bench.node.read(1).unwrap();
    bench.node.start_read_round(bench.now);
    bench.accept(SECOND, index, 2);
    assert_eq!(bench.node.ready().confirmed_reads, [(1, index)]);
}

/// A vote leaves the process before it is synced, and the host loses power:
/// the replica would vote again and the term have two leaders.
#[test]
fn vote_before_sync() {
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.now += bench.cfg.election_timeout;
    let body = MessageBody::VoteRequest {
        pre_vote: false,
        last_index: 0,
        last_term: 0,
    };
    bench.hear(SECOND, 1, body);
    let ready = bench.node.ready();
    assert!(ready.messages.is_empty());
    bench.node.persisted(ready.write.unwrap().number, bench.now);
    assert_eq!(bench.node.ready().messages.len(), 1);
}

/// A voter restarts just after it has answered a leader, and a candidate that
/// can't hear that leader asks for its vote at once. The leader's lease still
/// counts on that answer; two would hand out leases.
#[test]
fn vote_after_restart() {
    let mut bench = Bench::new(HardState::default(), Vec::new());
    let body = MessageBody::VoteRequest {
        pre_vote: true,
        last_index: 0,
        last_term: 0,
    };
    bench.hear(SECOND, 1, body.clone());
    let sent = bench.node.ready().messages;
    let refused = MessageBody::VoteReply {
        pre_vote: true,
        granted: false,
    };
    assert_eq!(sent[0].body, refused);
    bench.now += bench.cfg.election_timeout;
    bench.hear(SECOND, 1, body);
    let granted = MessageBody::VoteReply {
        pre_vote: true,
        granted: true,
    };
    assert_eq!(bench.node.ready().messages[0].body, granted);
}

/// A leader is cut off from the others and believes that it still leads. It
/// must stop ordering before another can be elected, and then give up, so
/// that callers are sent on instead of being held.
#[test]
fn propose_cut_off_leader() {
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.lead();
    bench.accept(SECOND, 1, 1);
    assert!(bench.node.propose("one".into(), bench.now).is_ok());
    bench.pass(bench.cfg.lease_duration());
    let refused = bench.node.propose("two".into(), bench.now);
    assert_eq!(refused, Err(LeadershipError::NoLease));
    bench.pass(bench.cfg.election_timeout);
    let refused = bench.node.propose("three".into(), bench.now);
    assert_eq!(refused, Err(LeadershipError::NotLeader));
}

/// A read is asked of a leader that was replaced a moment ago without knowing
/// it. The answer must wait until a majority has answered a round that began
/// after the question; it would show an old state otherwise.
#[test]
fn read_needs_later_round() {
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.lead();
    bench.accept(SECOND, 1, 1);
    bench.sync();
    bench.node.read(9).unwrap();
    bench.node.start_read_round(bench.now);
    // A late answer to the earlier round.
    bench.accept(THIRD, 1, 1);
    assert!(
        bench
            .sync()
            .iter()
            .all(|ready| ready.confirmed_reads.is_empty())
    );
    bench.accept(THIRD, 1, 2);
    let reads: Vec<_> = bench
        .sync()
        .into_iter()
        .flat_map(|r| r.confirmed_reads)
        .collect();
    assert_eq!(reads, [(9, 1)]);
}

/// The cut-off leader of the test above gives up: its reads must be refused
/// at once, or their askers would wait for their own timeouts.
#[test]
fn read_refused_on_step_down() {
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.lead();
    bench.node.read(9).unwrap();
    bench.pass(bench.cfg.election_timeout * 2);
    let refused: Vec<_> = bench
        .sync()
        .into_iter()
        .flat_map(|r| r.refused_reads)
        .collect();
    assert_eq!(refused, [9]);
}

/// A blank replica answers the leader but holds nothing yet. As a voter it
/// would be needed for a majority that it can't help to form for long.
#[test]
fn promote_only_caught_up() {
    let newcomer = DiskId(4);
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.lead();
    bench.accept(SECOND, 1, 1);
    bench.sync();
    let term = bench.node.term();
    let peer = Peer::new("newcomer", "");
    bench.hear(newcomer, 0, MessageBody::Join { peer });
    bench.accept(SECOND, 2, 1);
    for round in 2..6 {
        bench.pass(bench.cfg.heartbeat_interval);
        bench.accept(SECOND, 2, round);
        let body = MessageBody::AppendReply {
            accepted: false,
            index: 0,
            round,
        };
        bench.hear(newcomer, term, body);
        bench.sync();
    }
    assert!(bench.node.members().learners.contains_key(&newcomer));
    bench.accept(newcomer, 2, 6);
    bench.pass(bench.cfg.heartbeat_interval);
    assert!(bench.node.members().voters.contains_key(&newcomer));
}

/// The leader that took a blank replica in is lost before that is committed.
/// The replica isn't blank any more, and nobody knows of it: it must ask
/// again, or its repair would never end.
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

/// A message is meant for the disk that the host had before it was lost.
#[test]
fn step_other_disk() {
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.now += bench.cfg.election_timeout;
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
    bench.node.step(message, bench.now);
    assert!(bench.node.ready().write.is_none());
}

fn join(bench: &mut Bench, from: DiskId, name: &str) {
    let peer = Peer::new(name, "");
    bench.hear(from, 0, MessageBody::Join { peer });
}

/// Lets the two other voters, or those of them that live, answer a round.
fn answered_rounds(bench: &mut Bench, live: &[DiskId], rounds: u32) {
    for _ in 0..rounds {
        bench.pass(bench.cfg.heartbeat_interval);
        let readies = bench.sync();
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
                bench.accept(message.to, index, round);
            }
        }
        bench.sync();
    }
}

/// A host is lost for good and a new one comes under another name. Were it
/// only added, four voters would stand with one of them dead, and the next
/// loss would stop the cluster.
#[test]
fn promote_in_place_of_lost_voter() {
    let lost_after = Duration::from_secs(5);
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.cfg.voter_replacement = Some(VoterReplacement {
        voters: 3,
        lost_after,
    });
    bench.rebuild();
    bench.lead();
    let new = DiskId(9);
    answered_rounds(&mut bench, &[SECOND], 5);
    join(&mut bench, new, "host-9");
    answered_rounds(&mut bench, &[SECOND, new], 20);
    let members = bench.node.members().clone();
    assert!(
        members.voters.contains_key(&THIRD),
        "not silent for long yet"
    );
    assert!(members.learners.contains_key(&new));
    answered_rounds(&mut bench, &[SECOND, new], 60);
    let voters: Vec<DiskId> = bench.node.members().voters.keys().copied().collect();
    assert_eq!(voters, [ME, SECOND, new]);
}

/// With all voters up a further replica waits as a learner, so that a host
/// that is exchanged on purpose finds its successor ready.
#[test]
fn promote_none_beyond_wanted() {
    let lost_after = Duration::from_secs(5);
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.cfg.voter_replacement = Some(VoterReplacement {
        voters: 3,
        lost_after,
    });
    bench.rebuild();
    bench.lead();
    let new = DiskId(9);
    answered_rounds(&mut bench, &[SECOND, THIRD], 5);
    join(&mut bench, new, "host-9");
    answered_rounds(&mut bench, &[SECOND, THIRD, new], 80);
    assert_eq!(bench.node.members().voters.len(), 3);
    assert!(bench.node.members().learners.contains_key(&new));
}

/// A voter stands still for so long that another takes its place. It was told
/// nothing of that, and would ask for votes for ever that nobody gives.
#[test]
fn should_join_after_long_silence() {
    let lost_after = Duration::from_secs(5);
    let mut bench = Bench::new(HardState::default(), Vec::new());
    bench.cfg.voter_replacement = Some(VoterReplacement {
        voters: 3,
        lost_after,
    });
    bench.rebuild();
    bench.pass(bench.cfg.election_timeout);
    assert!(!bench.node.should_join(bench.now));
    bench.pass(bench.cfg.election_timeout * 3);
    assert!(bench.node.should_join(bench.now));
}
