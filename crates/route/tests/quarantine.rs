//! Quarantine of requests that crash targets.

use quickcheck::{Gen, QuickCheck};
use route::{Fingerprint, Quarantine};

fn request(n: u8) -> Fingerprint {
    Fingerprint::new([n; 32])
}

/// Guards against losing one target after the other to a request that crashes
/// its engine and is retried by its caller.
#[test]
fn crashed_convicts_lone_suspect() {
    let mut quarantine = Quarantine::new();
    let first = quarantine.crashed("a", 1, &[request(1), request(2)]);
    assert_eq!(first.suspects, [request(1), request(2)]);
    let second = quarantine.crashed("b", 1, &[request(1), request(3)]);
    assert_eq!(second.convicted, [request(1)]);
    assert!(!quarantine.is_suspect(&request(3)));
    assert!(!quarantine.is_convicted(&request(2)));
}

/// Guards against convicting a harmless request. Two requests from one crashed
/// target run together on a second one that crashes, and only one is at fault.
#[test]
fn crashed_with_two_suspects_convicts_none() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed("a", 1, &[request(1), request(2)]);
    let verdict = quarantine.crashed("b", 1, &[request(1), request(2)]);
    assert!(verdict.convicted.is_empty());
}

/// Guards against counting a crash twice when its report is repeated after a
/// lost answer. All requests that ran on the target would be convicted.
#[test]
fn crashed_ignores_repeated_report() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed("a", 1, &[request(1)]);
    let again = quarantine.crashed("a", 1, &[request(1)]);
    assert_eq!(again.suspects, [request(1)]);
    assert!(again.convicted.is_empty());
}

/// Guards against keeping a conviction that a later report of the same crash
/// disproves. Two entries report the requests they had sent there: the first
/// report shows a lone suspect, the second another one.
#[test]
fn crashed_merges_reports_of_same_crash() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed("a", 1, &[request(1), request(2)]);
    let first = quarantine.crashed("b", 1, &[request(1)]);
    assert_eq!(first.convicted, [request(1)]);
    let second = quarantine.crashed("b", 1, &[request(2)]);
    assert!(second.convicted.is_empty());
    assert!(quarantine.is_suspect(&request(1)));
}

#[test]
fn pardon_clears_convicted_request() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed("a", 1, &[request(1)]);
    quarantine.crashed("b", 1, &[request(1)]);
    assert!(quarantine.pardon(&request(1)));
    assert!(!quarantine.is_convicted(&request(1)));
    assert!(!quarantine.pardon(&request(1)));
    // A repeated old report does not restore the conviction.
    for target in ["a", "b"] {
        quarantine.crashed(target, 1, &[request(1)]);
        assert!(!quarantine.is_convicted(&request(1)));
        assert!(!quarantine.is_suspect(&request(1)));
    }
}

#[test]
fn from_json_rejects_damaged_documents() {
    assert!(Quarantine::from_json(b"{").is_err());
    let error = Quarantine::from_json(
        br#"{"version":1,"clock":1,"suspects":{"zz":1},"convicted":{},"crashes":[]}"#,
    )
    .unwrap_err();
    assert!(error.to_string().ends_with("suspects.zz"));
}

#[test]
fn quarantine_invariants_under_random_reports() {
    fn property(reports: Vec<(u8, u8, Vec<u8>)>) -> bool {
        let mut quarantine = Quarantine::new();
        let mut copy = Quarantine::new();
        for (target, incarnation, ran) in reports {
            let ran: Vec<Fingerprint> = ran.iter().map(|n| request(n % 8)).collect();
            let target = format!("t{}", target % 4);
            let incarnation = u64::from(incarnation % 4);
            let suspect_before: Vec<Fingerprint> = quarantine.suspects().copied().collect();
            let convicted_before: Vec<Fingerprint> = quarantine.convicted().copied().collect();
            quarantine.crashed(&target, incarnation, &ran);
            copy.crashed(&target, incarnation, &ran);
            let new = quarantine
                .convicted()
                .filter(|f| !convicted_before.contains(f));
            // Only suspects are convicted, and at most one per report.
            let new: Vec<&Fingerprint> = new.collect();
            if new.len() > 1 || new.iter().any(|f| !suspect_before.contains(f)) {
                return false;
            }
            if quarantine.suspects().any(|f| quarantine.is_convicted(f)) {
                return false;
            }
            copy = Quarantine::from_json(&copy.to_json()).unwrap();
        }
        copy == quarantine
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8, Vec<u8>)>) -> bool);
}

#[test]
fn crashed_keeps_bounded_state() {
    let mut quarantine = Quarantine::new();
    for n in 0..5000_u32 {
        let mut digest = [0; 32];
        digest[..4].copy_from_slice(&n.to_be_bytes());
        quarantine.crashed("a", u64::from(n), &[Fingerprint::new(digest)]);
    }
    assert_eq!(quarantine.suspects().count(), 4096);
    assert!(quarantine.to_json().len() < 1 << 20);
}
