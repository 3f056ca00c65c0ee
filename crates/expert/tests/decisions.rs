//! Durable record of map decisions.

use bytes::Bytes;
use expert::{DecideOutcome, Decision, Decisions, Refusal, Verdict};
use quickcheck::{Gen, QuickCheck};

const GROUP: &str = "blank-advisor";

fn commit(fencing: u64, version: u64, barrier_step: u64) -> Decision {
    Decision {
        fencing,
        version,
        barrier_step,
        verdict: Verdict::Commit,
        map: Bytes::from(format!("map {version}")),
    }
}

fn refusal(outcome: &DecideOutcome) -> Option<Refusal> {
    match outcome {
        DecideOutcome::Accepted(_) => None,
        DecideOutcome::Refused { refusal, .. } => Some(*refusal),
    }
}

#[test]
fn decide_outdated_fencing() {
    // A coordinator is partitioned after its ranks have promised to hold, and
    // another one is opened and aborts the switch. If the commit of the first
    // one were accepted later, the ranks would run on different maps.
    let mut decisions = Decisions::new();
    let old = decisions.open_coordinator(GROUP, "a", 1).fencing;
    let new = decisions.open_coordinator(GROUP, "b", 1).fencing;
    let outcome = decisions.decide(GROUP, commit(old, 1, 10));
    assert_eq!(refusal(&outcome), Some(Refusal::Fencing));
    assert!(decisions.decide(GROUP, commit(new, 1, 10)).is_accepted());
}

#[test]
fn decide_reply_lost() {
    // The reply to a commit is lost, and a new coordinator is opened before
    // the first one proposes the commit again. The first one must learn that
    // its commit is in effect, or it would tell its ranks to continue on the
    // previous map.
    let mut decisions = Decisions::new();
    let fencing = decisions.open_coordinator(GROUP, "a", 1).fencing;
    let first = decisions.decide(GROUP, commit(fencing, 1, 10));
    decisions.open_coordinator(GROUP, "b", 1);
    assert_eq!(decisions.decide(GROUP, commit(fencing, 1, 10)), first);
    let other = decisions.decide(GROUP, commit(fencing, 1, 11));
    assert_eq!(refusal(&other), Some(Refusal::Fencing));
    assert_eq!(other.current(), first.current());
}

#[test]
fn decide_invalid() {
    let mut decisions = Decisions::new();
    let fencing = decisions.open_coordinator(GROUP, "a", 1).fencing;
    let gap = decisions.decide(GROUP, commit(fencing, 2, 10));
    assert_eq!(refusal(&gap), Some(Refusal::Version));
    assert!(
        decisions
            .decide(GROUP, commit(fencing, 1, 10))
            .is_accepted()
    );
    let not_after = decisions.decide(GROUP, commit(fencing, 2, 10));
    assert_eq!(refusal(&not_after), Some(Refusal::Barrier));
    let mut empty = commit(fencing, 2, 11);
    empty.map = Bytes::new();
    let empty = decisions.decide(GROUP, empty);
    assert_eq!(refusal(&empty), Some(Refusal::NoMap));
}

#[test]
fn decide_unknown_group() {
    let outcome = Decisions::new().decide(GROUP, commit(0, 1, 10));
    assert_eq!(refusal(&outcome), Some(Refusal::Fencing));
}

#[test]
fn current_after_abort() {
    let mut decisions = Decisions::new();
    let fencing = decisions.open_coordinator(GROUP, "a", 1).fencing;
    decisions.decide(GROUP, commit(fencing, 1, 10));
    let mut abort = commit(fencing, 2, 20);
    abort.verdict = Verdict::Abort;
    abort.map = Bytes::new();
    assert!(decisions.decide(GROUP, abort).is_accepted());
    decisions.decide(GROUP, commit(fencing, 3, 30));
    let group_state = decisions.group_state(GROUP).unwrap();
    let version = |step| group_state.in_force(step).map(|decision| decision.version);
    assert_eq!(version(9), None);
    assert_eq!(version(29), Some(1));
    assert_eq!(version(30), Some(3));
    assert_eq!(group_state.next_version(), 4);
}

/// Applies one arbitrary command.
fn apply(decisions: &mut Decisions, (kind, fencing, version, step): (u8, u8, u8, u8)) {
    let group = if kind & 1 == 0 { "g" } else { "h" };
    if kind & 6 == 0 {
        decisions.open_coordinator(group, "a", u64::from(step));
        return;
    }
    let mut decision = commit(
        u64::from(fencing % 4),
        u64::from(version % 6),
        u64::from(step),
    );
    if kind & 8 == 0 {
        decision.verdict = Verdict::Abort;
    }
    decisions.decide(group, decision);
}

#[test]
fn snapshot_any_history() {
    fn property(commands: Vec<(u8, u8, u8, u8)>) -> bool {
        let mut decisions = Decisions::new();
        for command in commands {
            apply(&mut decisions, command);
            // A replica that restarts from a snapshot continues like the others.
            let restored = Decisions::from_bytes(decisions.to_bytes()).unwrap();
            if restored != decisions {
                return false;
            }
            decisions = restored;
        }
        true
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(60, 1))
        .quickcheck(property as fn(Vec<(u8, u8, u8, u8)>) -> bool);
}

#[test]
fn from_bytes_any_bytes() {
    // A replica must report a corrupt snapshot without a panic.
    fn property(bytes: Vec<u8>) -> bool {
        let _ = Decisions::from_bytes(bytes);
        true
    }
    QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(200, 2))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
