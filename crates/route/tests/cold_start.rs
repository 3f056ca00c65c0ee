//! What many entries together send to a cold target.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{ColdLimit, ColdShare};
use std::time::{Duration, Instant};

const TICK: Duration = Duration::from_millis(1);
const COLD_TIME: Duration = Duration::from_secs(3);

/// The most requests that reach the target in one second, and in all of its cold time, if
/// every entry has requests all the time. The positions of entries are those that
/// `entries_known` gives for an entry at a time.
fn requests(
    tolerated: f64,
    entries: usize,
    entries_known: impl Fn(usize, Duration) -> Option<(usize, usize)>,
) -> (usize, usize) {
    let start = Instant::now();
    let mut limits = vec![ColdLimit::default(); entries];
    let mut sent = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < COLD_TIME {
        let now = start + elapsed;
        for (entry, limit) in limits.iter_mut().enumerate() {
            let share = entries_known(entry, elapsed).map_or(ColdShare::NONE, |(rank, all)| {
                ColdShare::new(tolerated, rank, all)
            });
            limit.set(Some(start + COLD_TIME), share, now);
            if limit.admits(now) {
                limit.record_request(now);
                sent.push(elapsed);
            }
        }
        elapsed += TICK;
    }
    let second = Duration::from_secs(1);
    let in_second = |from: Duration| {
        let sent = sent.iter();
        sent.filter(|at| from <= **at && **at < from + second)
            .count()
    };
    let most = sent.iter().map(|from| in_second(*from)).max();
    (most.unwrap_or(0), sent.len())
}

/// Requests in a second above which a target that tolerates `tolerated` crashes.
fn bound(tolerated: f64) -> f64 {
    tolerated * 1.5 + 5.0
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

/// Guards against a target that crashes right after its start because every entry sends it
/// the first few requests.
#[test]
fn new_any_number_of_entries() {
    for entries in [1, 2, 4, 5, 13, 47, 231, 462] {
        for tolerated in [1.0, 4.0, 14.0, 40.0, 200.0] {
            let (most, all) = requests(tolerated, entries, |entry, _| Some((entry, entries)));
            let case = format!("{entries} entries, {tolerated} tolerated");
            assert!(as_f64(most) <= bound(tolerated), "{case}: {most}");
            assert!(
                as_f64(all) >= 0.6 * tolerated * COLD_TIME.as_secs_f64(),
                "{case}: {all}"
            );
        }
    }
}

/// Guards against a target that crashes because entries that are cut off from control
/// still send their share while others have taken it over.
#[test]
fn new_entries_cut_off() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries = rng.random_range(2..=64);
        let tolerated = rng.random_range(1.0..100.0);
        let cut_at = Duration::from_millis(rng.random_range(0..3_000));
        let connected = rng.random_range(1..entries);
        // The first entries stay connected and no longer know the others, which go on
        // as before; the order of the connected ones is another one then.
        let known = |entry: usize, elapsed: Duration| {
            if elapsed >= cut_at && entry < connected {
                return Some((entry, connected));
            }
            Some(((entry + connected) % entries, entries))
        };
        let (most, _) = requests(tolerated, entries, known);
        assert!(
            as_f64(most) <= bound(tolerated),
            "seed {seed}: {most} of {tolerated}"
        );
    }
}

/// Guards against requests of an entry that does not know the others, for example because
/// it has just started.
#[test]
fn new_entries_unknown() {
    let (most, _) = requests(14.0, 13, |_, _| None);
    assert_eq!(most, 0);
}
