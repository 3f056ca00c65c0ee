//! Requests under which targets crash, where targets run requests of all kinds.

use quickcheck::{Gen, QuickCheck};
use route::{CrashGuard, CrashTally, CrashedRequest, Features, Fingerprint, SharedTally};
use std::time::{Duration, Instant};

fn request(n: u8) -> Fingerprint {
    Fingerprint::new([n; 32])
}

fn tally(crashes: &[&[u8]]) -> CrashTally {
    let mut tally = CrashTally::default();
    for (n, ran) in crashes.iter().enumerate() {
        let ran: Vec<Fingerprint> = ran.iter().map(|n| request(*n)).collect();
        tally.record_crash(&format!("target-{n}"), 1, &ran);
    }
    tally
}

/// Guards against sending a request to a fourth target after three have crashed under it.
#[test]
fn record_crash_third_convicts() {
    let tally = tally(&[&[1, 2], &[1, 3], &[1, 4]]);
    assert!(tally.convicted().eq([&request(1)]));
    assert_eq!(tally.suspects().count(), 0);
}

/// Guards against counting one crash three times when three entries report it.
#[test]
fn record_crash_merges_reports() {
    let mut tally = CrashTally::default();
    for _ in 0..3 {
        tally.record_crash("target", 1, &[request(1)]);
    }
    assert_eq!(tally.convicted().count(), 0);
    tally.record_crash("target", 2, &[request(1)]);
    assert!(tally.suspects().eq([&request(1)]));
}

/// Guards against convicting a bystander that ran beside the cause on all three targets.
#[test]
fn record_crash_bystander_on_all_three() {
    let mut tally = tally(&[&[1, 2], &[1, 2], &[1, 2, 3]]);
    assert_eq!(tally.convicted().count(), 0);
    tally.record_crash("fourth", 1, &[request(1), request(4)]);
    assert!(tally.convicted().eq([&request(1)]));
    assert_eq!(tally.suspects().count(), 0);
}

/// Guards against convicting a bystander because its entry reports a crash before the
/// entry of the cause does.
#[test]
fn record_crash_cause_reported_last() {
    let mut tally = tally(&[&[1, 2], &[1, 2], &[2]]);
    assert!(tally.convicted().eq([&request(2)]));
    tally.record_crash("target-2", 1, &[request(1)]);
    assert_eq!(tally.convicted().count(), 0);
    tally.record_crash("fourth", 1, &[request(1)]);
    assert!(tally.convicted().eq([&request(1)]));
}

/// Guards against an endless series of crashes under two requests that always come
/// together.
#[test]
fn record_crash_inseparable_requests() {
    let tally = tally(&[&[1, 2], &[1, 2], &[1, 2], &[1, 2], &[1, 2]]);
    assert_eq!(tally.convicted().count(), 2);
}

/// Guards against convicting a bystander of the crashes of two other requests.
#[test]
fn record_crash_explained_by_convicted() {
    let mut tally = tally(&[&[1, 9], &[1, 9], &[1], &[2, 9]]);
    assert!(tally.is_convicted(&request(1)));
    tally.record_crash("late", 1, &[request(1), request(9)]);
    assert!(!tally.is_convicted(&request(9)));
    assert_eq!(tally.suspects().count(), 0);
}

/// Guards against refusing a common request for ever that was convicted by coincidence.
#[test]
fn clear_convicted_request() {
    let mut tally = tally(&[&[1], &[1], &[1]]);
    let version = tally.version();
    assert!(tally.clear(&request(1)));
    assert!(!tally.is_convicted(&request(1)));
    assert!(tally.version() > version);
    assert!(!tally.clear(&request(1)));
}

/// A request with these parts.
fn with_parts(n: u8, parts: &[u8]) -> Features {
    Features {
        request: request(n),
        parts: parts.iter().copied().map(request).collect(),
    }
}

/// Crashes of different targets, each with the requests that ran.
fn tally_of_parts(crashes: &[&[Features]]) -> CrashTally {
    let mut tally = CrashTally::default();
    for (n, ran) in crashes.iter().enumerate() {
        tally.record_crash(&format!("t{n}"), 1, ran);
    }
    tally
}

/// A request whose entry has had its parts in this many of its latest 256 requests.
fn with_shares(n: u8, parts: &[(u8, u32)]) -> CrashedRequest {
    let names: Vec<u8> = parts.iter().map(|(part, _)| *part).collect();
    CrashedRequest {
        features: with_parts(n, &names),
        has_completed: false,
        with_part: parts.iter().map(|(_, count)| *count).collect(),
        recent: 256,
    }
}

/// Requests on the target of a crash: `first` and six sound ones, each with a part that no
/// other request on a target has.
fn crash_of(n: u8, first: &[CrashedRequest]) -> Vec<CrashedRequest> {
    let sound = (0..6).map(|m| with_shares(100 + 6 * n + m, &[(200 + 6 * n + m, 1)]));
    first.iter().cloned().chain(sound).collect()
}

/// Guards against sending a request on under which three targets have crashed, as a rare part
/// of other requests happens to run in more crashes.
#[test]
fn record_crash_two_requests_beside_rare_part() {
    let (poison, other) = (with_shares(1, &[(91, 1)]), with_shares(2, &[(92, 1)]));
    let rare = |n| with_shares(n, &[(90, 2)]);
    let crashes = [
        crash_of(0, std::slice::from_ref(&poison)),
        crash_of(1, &[poison.clone(), rare(11)]),
        crash_of(2, &[poison.clone(), rare(11)]),
        crash_of(3, &[other.clone(), rare(12)]),
        crash_of(4, std::slice::from_ref(&other)),
        crash_of(5, &[other.clone(), rare(13)]),
    ];
    let mut tally = CrashTally::default();
    for (n, ran) in crashes.iter().enumerate() {
        tally.record_crash(&format!("t{n}"), 1, ran);
        assert_eq!(tally.is_convicted(&request(1)), n >= 2, "crash {n}");
    }
    assert!(tally.is_convicted(&request(2)));
    assert_eq!(tally.convicted().count(), 2);
}

/// Guards against one target after the other that crashes under requests with a part in
/// common, no two of them alike.
#[test]
fn record_crash_part_of_different_requests() {
    let crash = |n| [with_parts(n, &[100, 101]), with_parts(n + 50, &[100, 102])];
    let crashes: Vec<_> = (0..5).map(crash).collect();
    let crashes: Vec<&[Features]> = crashes.iter().map(|ran| &ran[..]).collect();
    let tally = tally_of_parts(&crashes);
    assert!(!tally.is_convicted(&request(100)));
    // 101 and 102 always ran together, and neither has completed since.
    assert!(tally.is_convicted(&request(101)));
}

/// Guards against a part that goes on crashing targets because one of the requests that had
/// it, or one that ran beside it and was sent again, explains some of the crashes.
#[test]
fn record_crash_part_of_repeated_requests() {
    for repeated in [1, 50] {
        let crash = |n: u8| {
            let poisonous = if repeated == 1 && n < 3 { 1 } else { n + 2 };
            let bystander = if repeated == 50 && n < 3 { 50 } else { n + 60 };
            [
                with_parts(poisonous, &[100, 101]),
                with_parts(bystander, &[100, n + 110]),
                with_parts(n + 70, &[100, n + 120]),
                with_parts(n + 80, &[100, n + 130]),
            ]
        };
        let crashes: Vec<_> = (0..5).map(crash).collect();
        let crashes: Vec<&[Features]> = crashes.iter().map(|ran| &ran[..]).collect();
        let tally = tally_of_parts(&crashes);
        assert!(tally.is_convicted(&request(101)), "{repeated}");
        assert!(!tally.is_convicted(&request(100)), "{repeated}");
    }
}

/// Guards against a part that stays unknown because nothing runs beside it.
#[test]
fn record_crash_part_alone_on_targets() {
    let crashes: Vec<_> = (0..5).map(|n| [with_parts(n, &[100, 101])]).collect();
    let mut tally = CrashTally::default();
    for (n, ran) in crashes.iter().enumerate() {
        tally.record_crash(&format!("t{n}"), 1, ran);
        tally.clear(&request(100));
    }
    assert!(tally.is_convicted(&request(101)));
}

/// Guards against a part that half of all requests have and that goes on crashing targets
/// while nothing completes that could clear what is as common.
#[test]
fn record_crash_common_part_without_completions() {
    let mut tally = CrashTally::default();
    for crash in 0..5 {
        let ran = (0..12).map(|n| {
            let parts: &[u8] = if n < 6 { &[100, 101] } else { &[100] };
            let features = with_parts(crash * 12 + n, parts);
            CrashedRequest {
                with_part: [256, 128][..features.parts.len()].to_vec(),
                recent: 256,
                ..features.into()
            }
        });
        let ran: Vec<CrashedRequest> = ran.collect();
        tally.record_crash("t", u64::from(crash), &ran);
    }
    assert!(tally.is_convicted(&request(101)));
    assert!(!tally.is_convicted(&request(100)));
}

/// Guards against shutting out the parts of a request that crashes targets itself.
#[test]
fn record_crash_request_with_parts() {
    let crash = |n: u8| [with_parts(1, &[100, 101]), with_parts(n + 50, &[100, 102])];
    let crashes: Vec<_> = (0..8).map(crash).collect();
    let crashes: Vec<&[Features]> = crashes.iter().map(|ran| &ran[..]).collect();
    let tally = tally_of_parts(&crashes);
    assert_eq!(tally.convicted().collect::<Vec<_>>(), [&request(1)]);
}

/// Guards against a part that stays refused although a request that has it completes.
#[test]
fn clear_part_of_different_requests() {
    let crashes: Vec<_> = (0..5).map(|n| [with_parts(n, &[101])]).collect();
    let crashes: Vec<&[Features]> = crashes.iter().map(|ran| &ran[..]).collect();
    let mut tally = tally_of_parts(&crashes);
    assert!(tally.clear(&request(101)));
    assert!(!tally.is_convicted(&request(101)));
    assert_eq!(tally.watched().count(), 0);
}

/// Guards against a snapshot of an older version that stops a replica.
#[test]
fn from_json_crash_without_parts() {
    let text = request(1).to_string();
    let json = format!(
        r#"{{"version":4,"clock":2,"crashes":[{{"target":"a","incarnation":1,"reported":1,"ran":["{text}"]}}],"convicted":{{}}}}"#
    );
    let tally = CrashTally::from_json(json.as_bytes()).unwrap();
    assert_eq!(tally.version(), 4);
    assert!(!tally.is_convicted(&request(1)));
}

/// Guards against clearing a part by what targets began to run before the first crash.
#[test]
fn guard_part_completed_before_first_crash() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut guard = CrashGuard::default();
    guard.record_crash("a", 1, &[with_parts(1, &[101])], at(5));
    let before = guard.record_completion(&with_parts(2, &[101]), at(4), at(6));
    assert!(before.is_empty());
    let after = guard.record_completion(&with_parts(3, &[101]), at(6), at(7));
    assert_eq!(after, [request(101)]);
}

/// Guards against an entry that refuses a part which it sees complete.
#[test]
fn guard_serves_completed_part() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut guard = CrashGuard::default();
    let watched = SharedTally {
        version: 1,
        watched: [request(101)].into(),
        ..SharedTally::default()
    };
    guard.apply(watched, at(0));
    guard.record_completion(&with_parts(1, &[101]), at(1), at(2));
    let convicted = SharedTally {
        version: 2,
        convicted: [request(101)].into(),
        ..SharedTally::default()
    };
    assert_eq!(guard.apply(convicted, at(3)), [request(101)]);
    assert!(!guard.must_refuse(&with_parts(2, &[101]), at(3)));
    guard.record_crash("a", 1, &[with_parts(3, &[101])], at(4));
    assert!(guard.must_refuse(&with_parts(4, &[101]), at(4)));
}

#[test]
fn from_json_copy_of_random_tallies() {
    fn property(crashes: Vec<(u8, u8, Vec<u8>)>) -> bool {
        let (mut tally, mut copy) = (CrashTally::default(), CrashTally::default());
        for (target, incarnation, ran) in crashes {
            let ran: Vec<Fingerprint> = ran.iter().map(|n| request(n % 8)).collect();
            let target = format!("t{}", target % 4);
            for tally in [&mut tally, &mut copy] {
                tally.record_crash(&target, u64::from(incarnation % 4), &ran);
                if let [first, ..] = ran[..]
                    && incarnation > 200
                {
                    tally.clear(&first);
                }
            }
            copy = CrashTally::from_json(&copy.to_json()).unwrap();
            if tally.suspects().any(|f| tally.is_convicted(f)) {
                return false;
            }
        }
        copy == tally
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 6))
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u8, Vec<u8>)>) -> bool);
}

#[test]
fn record_crash_keeps_bounded_state() {
    let mut tally = CrashTally::default();
    for n in 0..2000_u32 {
        let mut digest = [0; 32];
        digest[..4].copy_from_slice(&n.to_be_bytes());
        tally.record_crash("a", u64::from(n), &[Fingerprint::new(digest)]);
    }
    assert!(tally.to_json().len() < 1 << 18);
}

/// Guards against suspecting a common request whenever targets crash for other reasons.
#[test]
fn guard_ignores_completed_request() {
    let now = Instant::now();
    let mut guard = CrashGuard::default();
    guard.record_completion(&request(1).into(), now, now);
    for target in ["a", "b", "c"] {
        let reported = guard.record_crash(target, 1, &[request(1), request(2)], now);
        assert_eq!(reported.requests, [request(2).into()]);
    }
    assert!(!guard.must_refuse(&request(1).into(), now));
    let later = now + Duration::from_mins(2);
    let reported = guard.record_crash("d", 1, &[request(1)], later);
    assert_eq!(reported.requests.len(), 1);
}

/// Guards against refusing a request that targets complete, because it ran beside the one
/// that crashes them.
#[test]
fn guard_serves_completed_request() {
    let now = Instant::now();
    let mut guard = CrashGuard::default();
    guard.record_completion(&request(1).into(), now, now);
    let convicted = SharedTally {
        version: 3,
        convicted: [request(1), request(2)].into(),
        ..SharedTally::default()
    };
    assert_eq!(guard.apply(convicted, now), [request(1)]);
    assert!(!guard.must_refuse(&request(1).into(), now));
    assert!(!guard.is_suspect(&request(1).into(), now));
    assert!(guard.must_refuse(&request(2).into(), now));
    let later = now + Duration::from_mins(2);
    assert!(guard.must_refuse(&request(1).into(), later));
}

/// Guards against refusing a request here for ever that an operator has pardoned.
#[test]
fn guard_forgets_pardoned_request() {
    let now = Instant::now();
    let mut guard = CrashGuard::default();
    for target in ["a", "b", "c"] {
        guard.record_crash(target, 1, &[request(1)], now);
    }
    let convicted = SharedTally {
        version: 3,
        convicted: [request(1)].into(),
        ..SharedTally::default()
    };
    let pardoned = SharedTally {
        version: 4,
        ..SharedTally::default()
    };
    guard.apply(convicted.clone(), now);
    assert!(guard.must_refuse(&request(1).into(), now));
    guard.apply(pardoned, now);
    assert!(!guard.must_refuse(&request(1).into(), now));
    guard.apply(convicted, now);
    assert!(
        !guard.must_refuse(&request(1).into(), now),
        "an older version is ignored"
    );
}

/// Guards against an entry without control that never learns which part crashes targets.
#[test]
fn guard_part_without_control() {
    let start = Instant::now();
    let mut guard = CrashGuard::default();
    let mut crashes = 0;
    for n in 0..40 {
        let now = start + Duration::from_millis(250) * u32::from(n);
        let poisonous = with_parts(n, &[100, 101]);
        if !guard.must_refuse(&poisonous, now) {
            guard.record_crash(&format!("t{n}"), 1, &[poisonous], now);
            crashes += 1;
        }
        guard.record_completion(&with_parts(n + 50, &[100, 102]), now, now);
    }
    assert!(crashes <= 8, "{crashes} crashes");
}
