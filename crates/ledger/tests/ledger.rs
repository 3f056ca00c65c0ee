//! Claims, finishes, releases and expiry, and schedules of them.

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
fn claim_same_key_other_body() {
    // A caller uses one key for two reservations by mistake. It must learn
    // so, and not be given the answer of the first for the second.
    let mut ledger = Ledger::new(limits());
    assert_eq!(ledger.claim(claim(1, 1), 0), KeyStatus::Claimed);
    let other = Claim {
        digest: Digest([9; 32]),
        ..claim(1, 2)
    };
    assert_eq!(ledger.claim(other, 0), KeyStatus::Mismatch);
}

#[test]
fn release_former_attempt() {
    // A release is delayed on its way while the key is freed and claimed
    // anew. Were it to free the new claim, a second reservation would run.
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
fn finish_second_result() {
    // Two entries finish the same attempt, one with the answer and one that
    // gave up. Both callers must be told what was stored first.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    assert!(ledger.finish(&key, Attempt(1), answer("a").into(), 1).0);
    let (stored, stands) = ledger.finish(&key, Attempt(1), CallOutcome::Unknown("late".into()), 2);
    assert!(!stored);
    assert_eq!(stands, KeyStatus::Finished(answer("a")));
}

#[test]
fn expire_running_claim() {
    // An entry dies after its claim and nobody reports on the attempt. A
    // resend must be told that the outcome is unknown, not be run again.
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
    // A host is paused just before its agent writes a call to the target, for
    // longer than any record is kept. The caller asks again; were the key free
    // by then, the call would run, and once more when the host goes on.
    for told in [false, true] {
        let mut ledger = Ledger::new(limits());
        let key = claim(1, 1).key;
        ledger.claim(claim(1, 1), 0);
        if told {
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
    // The paused host goes on and the call runs after all. Its answer proves
    // that it ended: the caller gets it, and the record goes in due time.
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
    // A release comes long after its claim became unknown. The agent whose
    // word it carries may have forgotten by then that it ran the call.
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
    // An operator gives the word for a call, loses the answer and gives it
    // again, after the key was claimed anew. The new claim must stand.
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
    // Calls whose outcome is unknown pile up and no operator looks at them.
    // New calls are refused before they run, rather than old ones forgotten.
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
fn from_slice_first_version() {
    // Control is upgraded; its snapshot has no limit of unproved calls and no
    // word on which outcomes were proved. What it remembers of calls whose outcome is
    // unknown must not become free by that.
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
    let stands = restored.claim(claim(1, 2), 1_000_000);
    assert!(matches!(stands, KeyStatus::Unknown(_)));
}

#[test]
fn expire_long_gap() {
    // The cluster stood still for longer than both times together. A claim
    // that ran before must still be seen as unknown once.
    let mut ledger = Ledger::new(limits());
    ledger.claim(claim(1, 1), 0);
    assert!(matches!(
        ledger.claim(claim(1, 2), 10_000),
        KeyStatus::Unknown(_)
    ));
}

#[test]
fn claim_when_full() {
    // More calls run than the ledger has room for. The next one is refused
    // before it runs; none that was accepted loses its record.
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
    // A service sends a page where a short answer was expected. The call
    // did run, so a resend is told so and doesn't run it again.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    let large = answer(&"x".repeat(2_000));
    let (stored, stands) = ledger.finish(&key, Attempt(1), large.into(), 1);
    assert!(stored);
    assert!(matches!(stands, KeyStatus::Unknown(_)));
}

#[test]
fn from_slice_damaged() {
    // A damaged snapshot must be refused with its place, never half read.
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

/// Keeps its own account of the attempts that may write to their target now or
/// at any later time: an attempt that was granted its key stays among them,
/// however long it is stopped, until it was barred, until its answer came, or
/// until an operator has made sure that it is over.
fn at_most_one(steps: Vec<Step>) -> bool {
    let limits = limits();
    let mut ledger = Ledger::new(limits);
    let mut may_write: BTreeMap<u8, BTreeSet<u128>> = BTreeMap::new();
    let mut now = 0;
    for step in steps {
        now += u64::from(step.wait) * u64::from(step.wait);
        let key = claim(step.key, 0).key;
        let attempt = Attempt(step.attempt.into());
        let live = may_write.entry(step.key).or_default();
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
                    let live = may_write.entry(key.key[0]).or_default();
                    if !live.remove(&attempt.0) {
                        return false;
                    }
                }
            }
            _ => ledger.expire(now.saturating_sub(40)),
        }
        if may_write.values().any(|live| live.len() > 1) {
            return false;
        }
        if ledger.len() > limits.max_records
            || ledger.bytes() > limits.max_bytes
            || ledger.running() + ledger.unproved_len() > limits.max_unproved
        {
            return false;
        }
        // A replica that restores here goes on exactly as this one does.
        match Ledger::from_slice(&ledger.to_bytes()) {
            Ok(copy) if copy == ledger => ledger = copy,
            _ => return false,
        }
    }
    true
}

#[test]
fn claim_any_schedule() {
    // Claims, finishes, releases and operators' words on several attempts
    // arrive in any order and late, and an attempt may be stopped before it
    // writes to its target and go on at any later time. Two that may both
    // write would send the same crew twice.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 4711))
        .tests(2_000)
        .quickcheck(at_most_one as fn(Vec<Step>) -> bool);
}
