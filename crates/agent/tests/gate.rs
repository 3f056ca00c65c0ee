//! Each reason for which admission refuses an attempt.

use std::time::{Duration, Instant};

use agent::{
    AdmissionState, Health, IncomingAttempt, Lease, Offered, Phase, Refusal, Suspicion, Tombstone,
    Tombstones,
};
use ledger::Attempt;

fn admission() -> AdmissionState {
    AdmissionState {
        incarnation: 7,
        note: 3,
        lease: Lease::Live,
        phase: Phase::Serving,
        offered: Offered::Yes,
        health: Health::Up,
        running: 1,
        limit: 2,
        suspects: 0,
    }
}

fn arrival() -> IncomingAttempt {
    IncomingAttempt {
        incarnation: 7,
        note: 3,
        lease: Lease::Expired,
        suspicion: Suspicion::None,
    }
}

#[test]
fn admit_each_refusal() {
    let admission = admission();
    let arrival = arrival();
    let cases = [
        (
            AdmissionState {
                incarnation: 8,
                ..admission
            },
            Refusal::Incarnation,
        ),
        (
            AdmissionState {
                note: 4,
                ..admission
            },
            Refusal::Note,
        ),
        (
            AdmissionState {
                note: 2,
                ..admission
            },
            Refusal::Note,
        ),
        (
            AdmissionState {
                lease: Lease::Expired,
                ..admission
            },
            Refusal::Lease,
        ),
        (
            AdmissionState {
                phase: Phase::Leaving,
                ..admission
            },
            Refusal::Leaving,
        ),
        (
            AdmissionState {
                offered: Offered::No,
                ..admission
            },
            Refusal::NotOffered,
        ),
        (
            AdmissionState {
                health: Health::Down,
                ..admission
            },
            Refusal::Unhealthy,
        ),
        (
            AdmissionState {
                running: 2,
                ..admission
            },
            Refusal::Full,
        ),
    ];
    assert_eq!(admission.admit(&arrival), Ok(()));
    for (admission, refusal) in cases {
        assert_eq!(admission.admit(&arrival), Err(refusal));
    }
}

#[test]
fn admit_with_one_lease() {
    // The entry or the agent is cut off from control. One valid lease is enough to
    // know that equal numbers mean the newest release note.
    let admission = AdmissionState {
        lease: Lease::Expired,
        ..admission()
    };
    assert_eq!(admission.admit(&arrival()), Err(Refusal::Lease));
    let leased = IncomingAttempt {
        lease: Lease::Live,
        ..arrival()
    };
    assert_eq!(admission.admit(&leased), Ok(()));
}

#[test]
fn admit_second_suspect() {
    // Two requests are suspected of a crash. If they ran together and the target
    // crashed again, the cause would stay unknown, and the wrong one could be
    // convicted.
    let suspect = IncomingAttempt {
        suspicion: Suspicion::Suspect,
        ..arrival()
    };
    assert_eq!(admission().admit(&suspect), Ok(()));
    let busy = AdmissionState {
        suspects: 1,
        ..admission()
    };
    assert_eq!(busy.admit(&suspect), Err(Refusal::Suspect));
    assert_eq!(busy.admit(&arrival()), Ok(()));
    let convicted = IncomingAttempt {
        suspicion: Suspicion::Convicted,
        ..arrival()
    };
    assert_eq!(admission().admit(&convicted), Err(Refusal::Suspect));
}

#[test]
fn insert_when_full() {
    // The record is full. An old tombstone must not be dropped to make room, or the
    // attempt that it bars could start.
    let start = Instant::now();
    let mut tombstones = Tombstones::new(2, Duration::from_secs(10));
    assert!(tombstones.insert(Attempt(1), Tombstone::Barred, start));
    assert!(tombstones.insert(Attempt(2), Tombstone::Forgotten, start));
    assert!(!tombstones.insert(Attempt(3), Tombstone::Barred, start));
    assert!(tombstones.insert(Attempt(1), Tombstone::Forgotten, start));
    assert_eq!(tombstones.get(Attempt(1)), Some(Tombstone::Barred));
    let later = start + Duration::from_secs(10);
    assert!(tombstones.insert(Attempt(3), Tombstone::Barred, later));
    assert_eq!(tombstones.get(Attempt(1)), None);
}
