//! Requests that crash the targets they run on.

use quickcheck::{Gen, QuickCheck};
use route::{Fingerprint, Quarantine};

fn request(n: u8) -> Fingerprint {
    Fingerprint::new([n; 32])
}

/// A request kills the engine that runs it, and its caller sends it again.
/// Without the quarantine users would lose one target after the other.
#[test]
fn crashed_twice_alone() {
    let mut quarantine = Quarantine::new();
    let first = quarantine.crashed("a", 1, &[request(1), request(2)]);
    assert_eq!(first.suspects, [request(1), request(2)]);
    let second = quarantine.crashed("b", 1, &[request(1), request(3)]);
    assert_eq!(second.convicted, [request(1)]);
    assert!(!quarantine.is_suspect(&request(3)));
    assert!(!quarantine.is_convicted(&request(2)));
}

/// Two requests that were on one crashed target run together on a second one
/// that crashes. One of them is harmless; convicting both would refuse an
/// innocent caller for good.
#[test]
fn crashed_two_suspects_together() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed("a", 1, &[request(1), request(2)]);
    let verdict = quarantine.crashed("b", 1, &[request(1), request(2)]);
    assert!(verdict.convicted.is_empty());
}

/// A reporter loses the answer and reports the same crash again. Counting it
/// twice would convict everything that ran on the target.
#[test]
fn crashed_reported_twice() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed("a", 1, &[request(1)]);
    let again = quarantine.crashed("a", 1, &[request(1)]);
    assert_eq!(again.suspects, [request(1)]);
    assert!(again.convicted.is_empty());
}

/// Two entries report the same crash, each with what it had sent there. The
/// first report alone looks like a lone suspect; the second shows another.
/// The innocent one would stay refused if the first verdict stood.
#[test]
fn crashed_reports_merged() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed("a", 1, &[request(1), request(2)]);
    let first = quarantine.crashed("b", 1, &[request(1)]);
    assert_eq!(first.convicted, [request(1)]);
    let second = quarantine.crashed("b", 1, &[request(2)]);
    assert!(second.convicted.is_empty());
    assert!(quarantine.is_suspect(&request(1)));
}

#[test]
fn pardon_convicted() {
    let mut quarantine = Quarantine::new();
    quarantine.crashed("a", 1, &[request(1)]);
    quarantine.crashed("b", 1, &[request(1)]);
    assert!(quarantine.pardon(&request(1)));
    assert!(!quarantine.is_convicted(&request(1)));
    assert!(!quarantine.pardon(&request(1)));
    // A late repeat of an old report doesn't bring the conviction back.
    for target in ["a", "b"] {
        quarantine.crashed(target, 1, &[request(1)]);
        assert!(!quarantine.is_convicted(&request(1)));
        assert!(!quarantine.is_suspect(&request(1)));
    }
}

#[test]
fn from_json_damaged() {
    assert!(Quarantine::from_json(b"{").is_err());
    let error = Quarantine::from_json(
        br#"{"version":1,"clock":1,"suspects":{"zz":1},"convicted":{},"crashes":[]}"#,
    )
    .unwrap_err();
    assert!(error.to_string().ends_with("suspects.zz"));
}

#[test]
fn quarantine_random_reports() {
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
            // Whoever is convicted was suspect, and one report convicts one.
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
fn crashed_many_bounded() {
    let mut quarantine = Quarantine::new();
    for n in 0..5000_u32 {
        let mut digest = [0; 32];
        digest[..4].copy_from_slice(&n.to_be_bytes());
        quarantine.crashed("a", u64::from(n), &[Fingerprint::new(digest)]);
    }
    assert_eq!(quarantine.suspects().count(), 4096);
    assert!(quarantine.to_json().len() < 1 << 20);
}
