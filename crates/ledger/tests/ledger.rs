//! Claims, finishes, releases and expiry, and schedules of them.

use std::collections::BTreeMap;

use ledger::{Answer, Attempt, CallKey, Claim, Claimed, Digest, Ledger, Limits, Verdict};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn limits() -> Limits {
    Limits {
        max_records: 4,
        max_bytes: 8_000,
        max_answer: 1_000,
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
    assert_eq!(ledger.claim(claim(1, 1), 0), Claimed::Claimed);
    let other = Claim {
        digest: Digest([9; 32]),
        ..claim(1, 2)
    };
    assert_eq!(ledger.claim(other, 0), Claimed::Mismatch);
}

#[test]
fn release_former_attempt() {
    // A release is delayed on its way while the key is freed and claimed
    // anew. Were it to free the new claim, a second reservation would run.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    assert!(ledger.release(&key, Attempt(1), 1).0);
    assert_eq!(ledger.claim(claim(1, 2), 2), Claimed::Claimed);
    assert!(!ledger.release(&key, Attempt(1), 3).0);
    assert!(matches!(ledger.claim(claim(1, 3), 4), Claimed::Running(_)));
}

#[test]
fn finish_second_result() {
    // Two entries finish the same attempt, one with the answer and one that
    // gave up. Both callers must be told what was stored first.
    let mut ledger = Ledger::new(limits());
    let key = claim(1, 1).key;
    ledger.claim(claim(1, 1), 0);
    assert!(ledger.finish(&key, Attempt(1), answer("a").into(), 1).0);
    let (stored, stands) = ledger.finish(&key, Attempt(1), Verdict::Unknown("late".into()), 2);
    assert!(!stored);
    assert_eq!(stands, Claimed::Finished(answer("a")));
}

#[test]
fn expire_running_claim() {
    // An entry dies after its claim and nobody reports on the attempt. A
    // resend must be told that the outcome is unknown, not be run again.
    let mut ledger = Ledger::new(limits());
    ledger.claim(claim(1, 1), 0);
    assert!(matches!(ledger.claim(claim(1, 2), 49), Claimed::Running(_)));
    assert!(matches!(ledger.claim(claim(1, 2), 50), Claimed::Unknown(_)));
    assert!(matches!(
        ledger.claim(claim(1, 2), 149),
        Claimed::Unknown(_)
    ));
    assert_eq!(ledger.claim(claim(1, 2), 150), Claimed::Claimed);
}

#[test]
fn expire_long_gap() {
    // The cluster stood still for longer than both times together. A claim
    // that ran before must still be seen as unknown once.
    let mut ledger = Ledger::new(limits());
    ledger.claim(claim(1, 1), 0);
    assert!(matches!(
        ledger.claim(claim(1, 2), 10_000),
        Claimed::Unknown(_)
    ));
}

#[test]
fn claim_when_full() {
    // More calls run than the ledger has room for. The next one is refused
    // before it runs; none that was accepted loses its record.
    let mut ledger = Ledger::new(limits());
    for key in 1..=4 {
        assert_eq!(ledger.claim(claim(key, 1), 0), Claimed::Claimed);
    }
    assert_eq!(ledger.claim(claim(5, 1), 0), Claimed::Full);
    let key = claim(1, 1).key;
    assert!(ledger.finish(&key, Attempt(1), answer("a").into(), 1).0);
    assert_eq!(ledger.standing(&key), Claimed::Finished(answer("a")));
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
    assert!(matches!(stands, Claimed::Unknown(_)));
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
            kind: u8::arbitrary(g) % 8,
            wait: u8::arbitrary(g) % 30,
        }
    }
}

/// Keeps its own account of the attempts that may be running for each key.
fn at_most_one(steps: Vec<Step>) -> bool {
    let limits = limits();
    let mut ledger = Ledger::new(limits);
    let mut holder: BTreeMap<u8, (u8, u64)> = BTreeMap::new();
    let mut now = 0;
    for step in steps {
        now += u64::from(step.wait);
        // A record may go only `keep_ms` after the claim at the earliest.
        holder.retain(|_, (_, since)| now < *since + limits.keep_ms);
        let key = claim(step.key, 0).key;
        let attempt = Attempt(step.attempt.into());
        match step.kind {
            0..=3 => {
                if ledger.claim(claim(step.key, attempt.0), now) == Claimed::Claimed {
                    let entry = holder.entry(step.key).or_insert((step.attempt, now));
                    if entry.0 != step.attempt {
                        return false;
                    }
                }
            }
            4 => drop(ledger.finish(&key, attempt, answer("a").into(), now)),
            5 => drop(ledger.finish(&key, attempt, Verdict::Unknown("u".into()), now)),
            6 => {
                let released = ledger.release(&key, attempt, now).0;
                let held = holder.get(&step.key).map(|(attempt, _)| *attempt);
                if released && held != Some(step.attempt) {
                    return false;
                }
                if released {
                    holder.remove(&step.key);
                }
            }
            _ => ledger.expire(now.saturating_sub(40)),
        }
        if ledger.len() > limits.max_records || ledger.bytes() > limits.max_bytes {
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
    // Claims, finishes and releases of several attempts arrive in any order
    // and late. Two that both believe they hold a key would send the same
    // crew twice.
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 4711))
        .tests(2_000)
        .quickcheck(at_most_one as fn(Vec<Step>) -> bool);
}
