//! Who makes room when connections or bytes run out.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use intake::{ConnectionKey, Decision, Intake, Limits, Phase, Timeouts};
use quickcheck::{Gen, QuickCheck};
use std::time::{Duration, Instant};

const OWN_BYTES: usize = 100;

fn intake(connections: usize, bytes: usize) -> Intake<u32> {
    Intake::new(Limits { connections, bytes })
}

fn open(intake: &mut Intake<u32>, handle: u32, now: Instant) -> ConnectionKey {
    match intake.open(handle, OWN_BYTES, now) {
        Decision::Granted(key) => key,
        other => panic!("{other:?}"),
    }
}

/// Opens a connection with an unfinished body of this size.
fn open_body(intake: &mut Intake<u32>, handle: u32, bytes: usize, now: Instant) -> ConnectionKey {
    let key = open(intake, handle, now);
    assert!(intake.enter(key, Phase::Body, now));
    assert_eq!(intake.reserve(key, bytes, now), Decision::Granted(()));
    key
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

/// Guards against idle connections that keep new callers out.
#[test]
fn open_oldest_unproven_makes_room() {
    let start = Instant::now();
    let mut intake = intake(3, 1 << 20);
    let served = open(&mut intake, 0, start);
    intake.mark_served(served);
    open(&mut intake, 1, after(start, 10));
    open(&mut intake, 2, after(start, 20));
    let decision = intake.open(3, OWN_BYTES, after(start, 1_000));
    assert_eq!(decision, Decision::Wait(vec![1]));
    // The room is not given away twice.
    let decision = intake.open(3, OWN_BYTES, after(start, 1_000));
    assert_eq!(decision, Decision::Wait(vec![]));
}

/// Guards against a connection flood that interrupts uploads.
#[test]
fn open_advancing_body_last() {
    let start = Instant::now();
    let mut intake = intake(2, 1 << 20);
    let served = open(&mut intake, 0, start);
    intake.mark_served(served);
    open_body(&mut intake, 1, 1_000, after(start, 990));
    let decision = intake.open(2, OWN_BYTES, after(start, 1_000));
    assert_eq!(decision, Decision::Wait(vec![0]));
}

/// Guards against a request that is cut off to make room.
#[test]
fn open_running_refused() {
    let start = Instant::now();
    let mut intake = intake(1, 1 << 20);
    let key = open(&mut intake, 0, start);
    assert!(intake.enter(key, Phase::Running, start));
    let decision = intake.open(1, OWN_BYTES, after(start, 60_000));
    assert_eq!(decision, Decision::Refused);
}

/// Guards against unfinished bodies that keep others from sending theirs.
#[test]
fn reserve_largest_stalled_makes_room() {
    let start = Instant::now();
    let mut intake = intake(8, 400_000);
    open_body(&mut intake, 0, 100_000, start);
    open_body(&mut intake, 1, 200_000, start);
    let now = after(start, 1_000);
    let key = open(&mut intake, 2, now);
    assert!(intake.enter(key, Phase::Body, now));
    assert_eq!(
        intake.reserve(key, 100_000, now),
        Decision::Wait(vec![1]),
        "the one that holds most"
    );
}

/// Guards against uploads that interrupt each other when there are too many.
#[test]
fn reserve_advancing_bodies_stay() {
    let start = Instant::now();
    let mut intake = intake(8, 400_000);
    open_body(&mut intake, 0, 300_000, start);
    let now = after(start, 100);
    let key = open(&mut intake, 1, now);
    assert!(intake.enter(key, Phase::Body, now));
    assert_eq!(intake.reserve(key, 100_000, now), Decision::Refused);
}

/// Guards against small requests that are refused because of large ones.
#[test]
fn reserve_small_body_beside_large_ones() {
    let start = Instant::now();
    let mut intake = intake(8, 400_000);
    open_body(&mut intake, 0, 349_000, start);
    let key = open(&mut intake, 1, start);
    assert!(intake.enter(key, Phase::Body, start));
    assert_eq!(intake.reserve(key, 40_000, start), Decision::Refused);
    assert_eq!(intake.reserve(key, 30_000, start), Decision::Granted(()));
}

/// Guards against a request that is handled although its connection makes room.
#[test]
fn enter_closing() {
    let start = Instant::now();
    let mut intake = intake(1, 1 << 20);
    let key = open(&mut intake, 0, start);
    assert!(matches!(
        intake.open(1, OWN_BYTES, after(start, 1_000)),
        Decision::Wait(_)
    ));
    assert!(!intake.enter(key, Phase::Running, after(start, 1_000)));
    assert_eq!(
        intake.reserve(key, 1, after(start, 1_000)),
        Decision::Refused
    );
}

/// Guards against connections that take all descriptors of a process.
#[test]
fn descriptors_exhausted_leaves_a_part() {
    let start = Instant::now();
    let mut intake = intake(100, 1 << 20);
    for handle in 0..8 {
        open(&mut intake, handle, after(start, handle.into()));
    }
    let now = after(start, 1_000);
    assert_eq!(intake.on_descriptors_exhausted(now), [0, 1]);
    assert!(matches!(intake.open(8, OWN_BYTES, now), Decision::Wait(_)));
    let later = after(start, 62_000);
    assert!(matches!(
        intake.open(8, OWN_BYTES, later),
        Decision::Granted(_)
    ));
}

/// Guards against a head that is sent a byte at a time.
#[test]
fn deadline_of_head_not_extended() {
    let start = Instant::now();
    let timeouts = Timeouts {
        idle: Duration::from_secs(15),
        head: Duration::from_secs(3),
    };
    let mut intake = intake(1, 1 << 20);
    let key = open(&mut intake, 0, start);
    assert_eq!(intake.deadline(key, &timeouts), Some(after(start, 15_000)));
    intake.on_read(key, after(start, 1_000));
    intake.on_read(key, after(start, 2_000));
    assert_eq!(intake.deadline(key, &timeouts), Some(after(start, 4_000)));
    assert!(intake.enter(key, Phase::Running, after(start, 2_500)));
    assert_eq!(intake.deadline(key, &timeouts), None);
}

/// Guards against limits that are exceeded, or bytes that are never returned, whatever
/// callers do.
#[test]
fn limits_hold_in_any_order() {
    fn check(steps: Vec<(u8, u8, u16)>) -> bool {
        let limits = Limits {
            connections: 6,
            bytes: 200_000,
        };
        let mut intake = Intake::new(limits);
        let mut now = Instant::now();
        let mut open: Vec<(ConnectionKey, usize)> = Vec::new();
        for (step, which, amount) in steps {
            now += Duration::from_millis(amount.into());
            let chosen = usize::from(which) % open.len().max(1);
            match (step % 6, open.get_mut(chosen)) {
                (0, _) => {
                    if let Decision::Granted(key) = intake.open(0, OWN_BYTES, now) {
                        open.push((key, 0));
                    }
                }
                (1, Some((key, body))) => {
                    let granted = intake.reserve(*key, amount.into(), now);
                    *body += usize::from(amount) * usize::from(granted == Decision::Granted(()));
                }
                (2, Some((key, _))) => intake.on_read(*key, now),
                (3, Some((key, _))) => {
                    let phase = [Phase::Idle, Phase::Body, Phase::Running];
                    let _ = intake.enter(*key, phase[usize::from(amount) % 3], now);
                }
                (4, Some((key, body))) => {
                    intake.release(*key, *body);
                    intake.close(*key);
                    open.remove(chosen);
                }
                (5, Some((key, body))) => {
                    intake.release(*key, *body);
                    *body = 0;
                }
                _ => {}
            }
            let held: usize = open.iter().map(|(_, body)| OWN_BYTES + body).sum();
            let fits = intake.bytes() <= limits.bytes && open.len() <= limits.connections;
            if !fits || intake.bytes() != held || intake.connections() != open.len() {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 85))
        .tests(2_000)
        .quickcheck(check as fn(Vec<(u8, u8, u16)>) -> bool);
}
