//! Tests of claim, finish, release and expiry, and of random sequences of them.

use std::collections::{BTreeMap, BTreeSet};

use ledger::{Answer, Attempt, CallKey, CallOutcome, Claim, Digest, KeyStatus, Ledger, Limits};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn limits() -> Limits {
    Limits {
        max_records: 4,
        max_bytes: 8_000,
        max_answer_bytes: 1_000,
        max_unproved: 4,
        keep_ms: 100,
        running_ms: 50,
    }
}

fn claim(key: u8, attempt: u128) -> Claim {
    Claim {
        key: CallKey::new("huber", vec![key]),
        digest: Digest([key; 32]),
        attempt: Attempt(attempt),
        target: "desk-01".into(),
        incarnation: 7,
    }
}

fn answer(body: &str) -> Answer {
    Answer {
        status: 201,
        headers: vec![("x-lot".into(), "1".into())],
        body: body.to_owned().into(),
    }
}

#[test]
fn claim_same_key_other_digest() {
    // A caller uses one key for two different requests by mistake. The second
    // must be refused and not get the answer of the first.
    let mut ledger = Ledger::new(limits());
    assert_eq!(ledger.claim(claim(1, 1), 0), KeyStatus::Claimed);
    let other = Claim {
        digest: Digest([9; 32]),
        ..claim(1, 2)
    };
    assert_eq!(ledger.claim(other, 0), KeyStatus::Mismatch);
}

#[test]
fn release_by_former_attempt() {
    // A release is delayed while the key is freed and claimed again. If it
    // freed the new claim, the call could run twice.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    assert!(ledger.release(&key, Attempt(1), 1).0);
    assert_eq!(ledger.claim(claim(1, 2), 2), KeyStatus::Claimed);
    assert!(!ledger.release(&key, Attempt(1), 3).0);
    assert!(matches!(
        ledger.claim(claim(1, 3), 4),
        KeyStatus::Running(_)
    ));
}

#[test]
fn finish_second_outcome() {
    // Two entries finish the same attempt, one with the answer and one after
    // giving up. Both callers must get the outcome that was stored first.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    assert!(ledger.finish(&key, Attempt(1), answer("a").into(), 1).0);
    let (stored, status) = ledger.finish(&key, Attempt(1), CallOutcome::Unknown("late".into()), 2);
    assert!(!stored);
    assert_eq!(status, KeyStatus::Finished(answer("a")));
}

#[test]
fn expire_running_claim() {
    // An entry crashes after its claim and the attempt is never reported. A
    // resend must get an unknown outcome and not run the call again.
    let mut ledger = Ledger::new(limits());
    ledger.claim(claim(1, 1), 0);
    assert!(matches!(
        ledger.claim(claim(1, 2), 49),
        KeyStatus::Running(_)
    ));
    assert!(matches!(
        ledger.claim(claim(1, 2), 50),
        KeyStatus::Unknown(_)
    ));
    assert!(matches!(
        ledger.claim(claim(1, 2), 149),
        KeyStatus::Unknown(_)
    ));
}

#[test]
fn expire_unproved() {
    // A host is paused just before its agent sends a call to the target, for
    // longer than any record is kept. If the key were free when the caller
    // resends the call, it would run then and again when the host resumes.
    for reported in [false, true] {
        let mut ledger = Ledger::new(limits());
        let key = claim(1, 1).key;
        ledger.claim(claim(1, 1), 0);
        if reported {
            let lost = CallOutcome::Unknown("the target was restarted".into());
            assert!(ledger.finish(&key, Attempt(1), lost, 1).0);
        }
        for now in [150, 10_000, u64::MAX / 2] {
            let KeyStatus::Unknown(unknown) = ledger.claim(claim(1, 2), now) else {
                panic!("free after {now} ms");
            };
            assert_eq!(unknown.holder.unwrap().attempt, Attempt(1));
        }
        assert_eq!(ledger.unproved_len(), 1);
    }
}

#[test]
fn finish_unproved_with_answer() {
    // The paused host resumes and the call runs. Its answer proves that it
    // ended: the caller gets the answer, and the record expires after its
    // retention.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    ledger.expire(1_000);
    let lost = CallOutcome::Unknown("lost".into());
    assert!(!ledger.finish(&key, Attempt(1), lost, 1_001).0);
    assert!(!ledger.finish(&key, Attempt(2), answer("b").into(), 1_001).0);
    assert!(ledger.finish(&key, Attempt(1), answer("a").into(), 1_001).0);
    assert_eq!(
        ledger.claim(claim(1, 2), 1_002),
        KeyStatus::Finished(answer("a"))
    );
    assert_eq!(ledger.claim(claim(1, 2), 1_101), KeyStatus::Claimed);
}

#[test]
fn release_unproved() {
    // A release arrives after its claim became unknown. The agent that reported
    // it may no longer remember that it ran the call.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    assert!(!ledger.release(&key, Attempt(1), 60).0);
    assert!(matches!(
        ledger.claim(claim(1, 2), 61),
        KeyStatus::Unknown(_)
    ));
}

#[test]
fn forget_twice() {
    // An operator forgets a call, loses the reply and repeats the request after
    // the key was claimed again. The new claim must be kept.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    assert_eq!(ledger.forget(Attempt(1), 1), None, "it may be running");
    assert_eq!(ledger.forget(Attempt(1), 50), Some(key));
    assert_eq!(ledger.claim(claim(1, 2), 51), KeyStatus::Claimed);
    assert_eq!(ledger.forget(Attempt(1), 52), None);
    assert!(matches!(
        ledger.claim(claim(1, 3), 53),
        KeyStatus::Running(_)
    ));
}

#[test]
fn claim_unproved_full() {
    // Unproved calls accumulate without being resolved by an operator. New
    // calls must be refused before they run, and no unproved call may be
    // dropped.
    let limits = Limits {
        max_records: 100,
        max_bytes: 1 << 20,
        ..limits()
    };
    let mut ledger = Ledger::new(limits);
    for key in 1..=4 {
        assert_eq!(ledger.claim(claim(key, 1), 0), KeyStatus::Claimed);
    }
    assert_eq!(ledger.claim(claim(5, 1), 0), KeyStatus::Full);
    assert_eq!(ledger.claim(claim(5, 1), 1_000), KeyStatus::Full);
    assert_eq!(ledger.unproved().count(), 4);
    ledger.forget(Attempt(1), 1_000);
    assert_eq!(ledger.claim(claim(5, 1), 1_000), KeyStatus::Claimed);
}

#[test]
fn from_slice_without_unproved_limit() {
    // A snapshot of an earlier version contains neither the limit of unproved
    // calls nor which attempts are proved to have ended. Keys of calls with an
    // unknown outcome must not become free after an upgrade.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    ledger.finish(&key, Attempt(1), CallOutcome::Unknown("lost".into()), 1);
    let now = ledger.to_bytes();
    // Field 8, the limit, is written last: its tag and a value of one byte.
    let (first, added) = now.split_at(now.len() - 2);
    assert_eq!(added, [8 << 3, 4]);
    let mut restored = Ledger::from_slice(first).unwrap();
    assert_eq!(
        restored.limits().max_unproved,
        Limits::default().max_unproved
    );
    let status = restored.claim(claim(1, 2), 1_000_000);
    assert!(matches!(status, KeyStatus::Unknown(_)));
}

#[test]
fn expire_long_gap() {
    // The cluster is stopped for longer than the running time and the retention
    // time together. A claim that was running must become unknown, not expire.
    let mut ledger = Ledger::new(limits());
    ledger.claim(claim(1, 1), 0);
    assert!(matches!(
        ledger.claim(claim(1, 2), 10_000),
        KeyStatus::Unknown(_)
    ));
}

#[test]
fn claim_when_full() {
    // The ledger is full of running calls. The next call must be refused before
    // it runs, and no accepted call may lose its record.
    let mut ledger = Ledger::new(limits());
    for key in 1..=4 {
        assert_eq!(ledger.claim(claim(key, 1), 0), KeyStatus::Claimed);
    }
    assert_eq!(ledger.claim(claim(5, 1), 0), KeyStatus::Full);
    let key = claim(1, 1).key;
    assert!(ledger.finish(&key, Attempt(1), answer("a").into(), 1).0);
    assert_eq!(ledger.status(&key), KeyStatus::Finished(answer("a")));
}

#[test]
fn finish_answer_too_large() {
    // A target sends an answer above the size limit. The call did run, so a
    // resend must get an unknown outcome and not run the call again.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    let large = answer(&"x".repeat(2_000));
    let (stored, status) = ledger.finish(&key, Attempt(1), large.into(), 1);
    assert!(stored);
    assert!(matches!(status, KeyStatus::Unknown(_)));
}

#[test]
fn from_slice_damaged() {
    // A truncated or corrupted snapshot must not crash the decoder.
    let mut ledger = Ledger::new(limits());
    ledger.claim(claim(1, 1), 0);
    let bytes = ledger.to_bytes();
    for at in 0..bytes.len() {
        let _ = Ledger::from_slice(&bytes[..at]);
        let mut flipped = bytes.clone();
        flipped[at] ^= 0x55;
        let _ = Ledger::from_slice(&flipped);
    }
}

#[derive(Clone, Debug)]
struct Step {
    key: u8,
    attempt: u8,
    kind: u8,
    wait: u8,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Step {
            key: u8::arbitrary(g) % 3,
            attempt: u8::arbitrary(g) % 5,
            kind: u8::arbitrary(g) % 9,
            wait: u8::arbitrary(g) % 30,
        }
    }
}

/// Models the attempts that may send to their target now or at any later time.
/// An attempt stays in the model after it was granted its key, however long it
/// is paused, until it was barred, its answer arrived or an operator has made
/// sure that it is over.
fn at_most_one_attempt_per_key(steps: Vec<Step>) -> bool {
    let limits = limits();
    let mut ledger = Ledger::new(limits);
    let mut may_send: BTreeMap<u8, BTreeSet<u128>> = BTreeMap::new();
    let mut now = 0;
    for step in steps {
        now += u64::from(step.wait) * u64::from(step.wait);
        let key = claim(step.key, 0).key;
        let attempt = Attempt(step.attempt.into());
        let live = may_send.entry(step.key).or_default();
        match step.kind {
            0..=3 => {
                if ledger.claim(claim(step.key, attempt.0), now) == KeyStatus::Claimed {
                    live.insert(attempt.0);
                }
            }
            4 => {
                let (stored, _) = ledger.finish(&key, attempt, answer("a").into(), now);
                if stored && !live.remove(&attempt.0) {
                    return false;
                }
            }
            5 => drop(ledger.finish(&key, attempt, CallOutcome::Unknown("u".into()), now)),
            6 => {
                if ledger.release(&key, attempt, now).0 && !live.remove(&attempt.0) {
                    return false;
                }
            }
            7 => {
                if let Some(key) = ledger.forget(attempt, now) {
                    let live = may_send.entry(key.key[0]).or_default();
                    if !live.remove(&attempt.0) {
                        return false;
                    }
                }
            }
            _ => ledger.expire(now.saturating_sub(40)),
        }
        if may_send.values().any(|live| live.len() > 1) {
            return false;
        }
        if ledger.len() > limits.max_records
            || ledger.bytes() > limits.max_bytes
            || ledger.running() + ledger.unproved_len() > limits.max_unproved
        {
            return false;
        }
        // A replica restored from a snapshot must continue in the same way.
        match Ledger::from_slice(&ledger.to_bytes()) {
            Ok(copy) if copy == ledger => ledger = copy,
            _ => return false,
        }
    }
    true
}

#[test]
fn claim_any_schedule() {
    // Operations on several attempts arrive delayed and in any order, and an
    // attempt may be paused before it sends to its target and resume at any
    // later time. If two attempts of a key could both send, the call could run
    // twice.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 4711))
        .tests(2_000)
        .quickcheck(at_most_one_attempt_per_key as fn(Vec<Step>) -> bool);
}
