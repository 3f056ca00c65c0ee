//! The state machine is deterministic for arbitrary commands.

use bytes::Bytes;
use control::StateMachine;
use prost::Message;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use wire::proto::command::Body;
use wire::proto::{
    Answer, Batch, Claim, Command, Crashed, DecideMap, Drain, Finish, Forget, LedgerLimits,
    OpenCoordinator, Pardon, Release, SubmitNote, Unknown, finish,
};

#[derive(Clone, Debug)]
struct ArbitraryCommand(Command);

fn text(g: &mut Gen) -> String {
    (*g.choose(&["", "a", "b", "desk-01"]).unwrap()).to_owned()
}

/// A digest that in most cases has the given length.
fn digest(g: &mut Gen, length: usize) -> Bytes {
    let length = if u8::arbitrary(g) % 8 == 0 { 3 } else { length };
    vec![u8::arbitrary(g) % 3; length].into()
}

fn note(g: &mut Gen) -> Bytes {
    let number = u8::arbitrary(g) % 5;
    let target = r#"{"kind": "service", "name": "b"}, {"kind": "target", "name": "desk-01", "service": "b"}"#;
    match u8::arbitrary(g) % 4 {
        0 => Vec::<u8>::arbitrary(g).into(),
        1 => format!(r#"{{"number": {number}, "added": [{target}]}}"#).into(),
        _ => format!(r#"{{"number": {number}}}"#).into(),
    }
}

fn result(g: &mut Gen) -> Option<finish::Result> {
    let status = u32::arbitrary(g) % 100_000;
    match u8::arbitrary(g) % 3 {
        0 => None,
        1 => Some(finish::Result::Unknown(Unknown::default())),
        _ => Some(finish::Result::Answer(Answer {
            status,
            ..Answer::default()
        })),
    }
}

fn body(g: &mut Gen, depth: u8) -> Body {
    let (account, key, attempt) = (text(g), digest(g, 2), digest(g, 16));
    match u8::arbitrary(g) % 12 {
        0 => Body::SubmitNote(SubmitNote {
            json: note(g),
            operator: text(g),
        }),
        1 => Body::Claim(Claim {
            account,
            key,
            attempt,
            digest: digest(g, 32),
            ..Claim::default()
        }),
        2 => Body::Finish(Finish {
            account,
            key,
            attempt,
            result: result(g),
        }),
        3 => Body::Release(Release {
            account,
            key,
            attempt,
        }),
        4 => Body::Crashed(Crashed {
            target: text(g),
            incarnation: u64::from(u8::arbitrary(g) % 3),
            fingerprints: vec![digest(g, 32)],
            requests: Vec::new(),
        }),
        5 => Body::Pardon(Pardon {
            fingerprint: digest(g, 32),
        }),
        6 => Body::OpenCoordinator(OpenCoordinator {
            group: text(g),
            ..OpenCoordinator::default()
        }),
        7 => Body::DecideMap(DecideMap {
            group: text(g),
            fencing: u64::from(u8::arbitrary(g) % 4),
            version: u64::from(u8::arbitrary(g) % 4),
            barrier_step: u64::arbitrary(g),
            commit: bool::arbitrary(g),
            map: Bytes::from_static(b"map"),
        }),
        8 => Body::Drain(Drain {
            target: text(g),
            draining: bool::arbitrary(g),
        }),
        9 => Body::Forget(Forget { attempt }),
        10 => Body::LedgerLimits(LedgerLimits {
            keep_ms: u64::arbitrary(g),
            running_ms: u64::arbitrary(g) % 50_000_000,
            max_unproved: *g.choose(&[0, 1, 5, u64::MAX]).unwrap(),
        }),
        _ if depth == 0 => Body::Batch(Batch::default()),
        _ => Body::Batch(Batch {
            commands: vec![command(g, depth - 1), command(g, depth - 1)],
        }),
    }
}

fn command(g: &mut Gen, depth: u8) -> Command {
    let now_ms = u64::arbitrary(g) % 100_000_000;
    let body = (u8::arbitrary(g) % 16 > 0).then(|| body(g, depth));
    Command { now_ms, body }
}

impl Arbitrary for ArbitraryCommand {
    fn arbitrary(g: &mut Gen) -> ArbitraryCommand {
        ArbitraryCommand(command(g, 2))
    }
}

/// One replica catches up from a snapshot and the commands after it, another from the
/// commands alone. If their states differed, operators and callers would get different
/// answers after a change of the leader.
#[test]
fn apply_from_any_snapshot() {
    fn equal(before: Vec<ArbitraryCommand>, after: Vec<ArbitraryCommand>) -> bool {
        let mut reference = StateMachine::default();
        for ArbitraryCommand(command) in before {
            reference.apply(command);
        }
        let mut caught_up = StateMachine::from_bytes(reference.to_bytes()).unwrap();
        for ArbitraryCommand(command) in after {
            assert_eq!(caught_up.apply(command.clone()), reference.apply(command));
        }
        caught_up == reference && caught_up.to_bytes() == reference.to_bytes()
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(80, 31))
        .quickcheck(equal as fn(Vec<ArbitraryCommand>, Vec<ArbitraryCommand>) -> bool);
}

/// A faulty process sends bytes that are not a valid command, or a snapshot is
/// malformed. Neither may panic.
#[test]
fn decode_any_bytes() {
    fn survives(bytes: Vec<u8>) -> bool {
        if let Ok(command) = Command::decode(bytes.as_slice()) {
            StateMachine::default().apply(command);
        }
        let _ = StateMachine::from_bytes(bytes.into());
        true
    }
    QuickCheck::new()
        .tests(5_000)
        .rng(Gen::from_size_and_seed(100, 37))
        .quickcheck(survives as fn(Vec<u8>) -> bool);
}
