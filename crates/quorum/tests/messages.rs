//! Arbitrary messages, and messages while a disk is full.

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use quorum::{
    Config, DiskId, Entry, EntryBody, Members, Message, MessageBody, Node, Peer, PersistedState,
    Snapshot,
};
use std::time::{Duration, Instant};

const DISKS: [u64; 4] = [0, 1, 2, 3];

#[derive(Clone, Debug)]
struct AnyMessage(Message);

fn number(g: &mut Gen) -> u64 {
    let extreme = [u64::MAX, u64::MAX - 1, 1 << 60, (1 << 60) - 1];
    match u8::arbitrary(g) % 8 {
        0 => *g.choose(&extreme).unwrap(),
        _ => u64::arbitrary(g) % 6,
    }
}

fn disk(g: &mut Gen) -> DiskId {
    DiskId(*g.choose(&DISKS).unwrap())
}

fn members(g: &mut Gen) -> Members {
    let mut members = Members::default();
    for _ in 0..u8::arbitrary(g) % 4 {
        members.voters.insert(disk(g), Peer::new("a", ""));
        members.learners.insert(disk(g), Peer::new("b", ""));
    }
    members
}

fn entries(g: &mut Gen) -> Vec<Entry> {
    let first = number(g);
    let count = u64::from(u8::arbitrary(g) % 4);
    let entry = |offset| {
        let body = match u8::arbitrary(g) % 3 {
            0 => EntryBody::Noop,
            1 => EntryBody::Command(Bytes::from_static(b"x")),
            _ => EntryBody::Members(members(g)),
        };
        let index = first.wrapping_add(offset);
        Entry {
            index,
            term: number(g),
            body,
        }
    };
    (0..count).map(entry).collect()
}

impl Arbitrary for AnyMessage {
    fn arbitrary(g: &mut Gen) -> AnyMessage {
        let (pre_vote, flag, round) = (bool::arbitrary(g), bool::arbitrary(g), number(g));
        let body = match u8::arbitrary(g) % 7 {
            0 => MessageBody::VoteRequest {
                pre_vote,
                last_index: number(g),
                last_term: number(g),
            },
            1 => MessageBody::VoteReply {
                pre_vote,
                granted: flag,
            },
            2 => MessageBody::Append {
                previous_index: number(g),
                previous_term: number(g),
                commit: number(g),
                round,
                entries: entries(g),
            },
            3 => MessageBody::AppendReply {
                accepted: flag,
                index: number(g),
                round,
            },
            4 => MessageBody::InstallSnapshot {
                index: number(g),
                term: number(g),
                members: members(g),
                offset: number(g),
                chunk: Bytes::from(Vec::arbitrary(g)),
                done: flag,
                round,
            },
            5 => MessageBody::SnapshotReply {
                index: number(g),
                offset: number(g),
                done: flag,
                round,
            },
            _ => MessageBody::Join {
                id: disk(g),
                peer: Peer::new("c", ""),
            },
        };
        let (from, to, term) = (disk(g), DiskId(1), number(g));
        AnyMessage(Message {
            from,
            to,
            term,
            body,
        })
    }
}

/// A faulty replica, or one of another version, sends invalid messages. No
/// message may crash the process or lead to a gap in the log.
#[test]
fn step_any_messages() {
    fn handles_all(messages: Vec<AnyMessage>, voters: u8) -> bool {
        let mut members = Members::default();
        for id in 1..=u64::from(voters % 3) + 1 {
            members.voters.insert(DiskId(id), Peer::default());
        }
        let snapshot = Some(Snapshot::initial(members));
        let persisted = PersistedState {
            snapshot,
            ..PersistedState::default()
        };
        let mut now = Instant::now();
        let mut node = Node::new(DiskId(1), Config::default(), 1, persisted, now);
        let mut applied = 0;
        for AnyMessage(message) in messages {
            now += Duration::from_millis(300);
            node.tick(now);
            node.step(message, now);
            loop {
                let ready = node.ready();
                if ready.is_empty() {
                    break;
                }
                if let Some(snapshot) = &ready.restore {
                    applied = snapshot.index;
                }
                for entry in &ready.committed {
                    assert_eq!(entry.index, applied + 1);
                    applied = entry.index;
                }
                if let Some(write) = ready.write {
                    node.persisted(write.number, now);
                }
            }
        }
        true
    }
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(60, 23))
        .quickcheck(handles_all as fn(Vec<AnyMessage>, u8) -> bool);
}

/// The disk of a follower is full for hours while the leader keeps sending
/// heartbeats. The replies deferred until the next sync must not fill the
/// memory.
#[test]
fn heartbeats_on_full_disk() {
    const HEARTBEATS: u64 = 100_000;
    let mut members = Members::default();
    for id in 1..=3 {
        members.voters.insert(DiskId(id), Peer::default());
    }
    let snapshot = Some(Snapshot::initial(members));
    let persisted = PersistedState {
        snapshot,
        ..PersistedState::default()
    };
    let now = Instant::now();
    let mut node = Node::new(DiskId(1), Config::default(), 1, persisted, now);
    let body = EntryBody::Noop;
    let mut entries = vec![Entry {
        index: 1,
        term: 1,
        body,
    }];
    for round in 1..=HEARTBEATS {
        let (previous_index, previous_term) = if round == 1 { (0, 0) } else { (1, 1) };
        let body = MessageBody::Append {
            previous_index,
            previous_term,
            commit: 0,
            round,
            entries: std::mem::take(&mut entries),
        };
        let (from, to, term) = (DiskId(2), DiskId(1), 1);
        node.step(
            Message {
                from,
                to,
                term,
                body,
            },
            now,
        );
        assert!(node.ready().messages.is_empty());
    }
    assert!(
        node.deferred_messages() < 4,
        "{} messages deferred",
        node.deferred_messages()
    );
}

/// Guards against a replica that hangs once a faulty peer has named it as its own leader: a
/// request that it forwards to itself was deferred and due again without end.
#[test]
fn join_leader_is_this_replica() {
    let now = Instant::now();
    let mut members = Members::default();
    for id in 1..=3 {
        members.voters.insert(DiskId(id), Peer::default());
    }
    let persisted = PersistedState {
        snapshot: Some(Snapshot::initial(members)),
        ..PersistedState::default()
    };
    let mut node = Node::new(DiskId(1), Config::default(), 1, persisted, now);
    let append = MessageBody::Append {
        previous_index: 0,
        previous_term: 0,
        commit: 0,
        round: 1,
        entries: Vec::new(),
    };
    let join = MessageBody::Join {
        id: DiskId(1),
        peer: Peer::default(),
    };
    for body in [append, join] {
        let message = Message {
            from: DiskId(1),
            to: DiskId(1),
            term: 1,
            body,
        };
        node.step(message, now);
    }
    let write = node.ready().write.unwrap();
    node.persisted(write.number, now);
    assert_eq!(node.deferred_messages(), 1);
}
