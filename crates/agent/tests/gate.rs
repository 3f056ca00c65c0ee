//! Each refusal of the gate, and no other.

use std::time::{Duration, Instant};

use agent::{
    Arrival, Gate, Health, Lease, Offered, Phase, Refusal, Suspicion, Tombstone, Tombstones,
};
use ledger::Attempt;

fn gate() -> Gate {
    Gate {
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

fn arrival() -> Arrival {
    Arrival {
        incarnation: 7,
        note: 3,
        lease: Lease::Over,
        suspicion: Suspicion::None,
    }
}

#[test]
fn admit_each_refusal() {
    let gate = gate();
    let arrival = arrival();
    let cases = [
        (
            Gate {
                incarnation: 8,
                ..gate
            },
            Refusal::Incarnation,
        ),
        (Gate { note: 4, ..gate }, Refusal::Note),
        (Gate { note: 2, ..gate }, Refusal::Note),
        (
            Gate {
                lease: Lease::Over,
                ..gate
            },
            Refusal::Lease,
        ),
        (
            Gate {
                phase: Phase::Leaving,
                ..gate
            },
            Refusal::Leaving,
        ),
        (
            Gate {
                offered: Offered::No,
                ..gate
            },
            Refusal::NotOffered,
        ),
        (
            Gate {
                health: Health::Down,
                ..gate
            },
            Refusal::Unhealthy,
        ),
        (Gate { running: 2, ..gate }, Refusal::Full),
    ];
    assert_eq!(gate.admit(&arrival), Ok(()));
    for (gate, refusal) in cases {
        assert_eq!(gate.admit(&arrival), Err(refusal));
    }
}

#[test]
fn admit_one_lease() {
    // The entry is cut off from control, or the agent is. One live lease is
    // enough to know that equal numbers mean the newest note.
    let gate = Gate {
        lease: Lease::Over,
        ..gate()
    };
    assert_eq!(gate.admit(&arrival()), Err(Refusal::Lease));
    let leased = Arrival {
        lease: Lease::Live,
        ..arrival()
    };
    assert_eq!(gate.admit(&leased), Ok(()));
}

#[test]
fn admit_second_suspect() {
    // Two requests are suspect of a crash. Together they would leave open
    // again which one it was, and a bystander could be convicted.
    let suspect = Arrival {
        suspicion: Suspicion::Suspect,
        ..arrival()
    };
    assert_eq!(gate().admit(&suspect), Ok(()));
    let busy = Gate {
        suspects: 1,
        ..gate()
    };
    assert_eq!(busy.admit(&suspect), Err(Refusal::Suspect));
    assert_eq!(busy.admit(&arrival()), Ok(()));
    let convicted = Arrival {
        suspicion: Suspicion::Convicted,
        ..arrival()
    };
    assert_eq!(gate().admit(&convicted), Err(Refusal::Suspect));
}

#[test]
fn insert_when_full() {
    // So many attempts were barred that there is no room. An old bar must not
    // go to make room, or the attempt that it bars could start.
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
