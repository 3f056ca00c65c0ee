//! Targets whose streams have all fallen silent, and their return.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{DispatchOutcome, Locality, ReportedLoad, TargetKey, TargetSet, TargetSetSettings};
use std::time::{Duration, Instant};

const MAX_PAUSE: Duration = Duration::from_millis(120);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Targets with a stream each that delivers an event every 100 ms until the returned time.
fn streaming_targets(count: usize, now: Instant) -> (TargetSet, Vec<TargetKey>, Instant) {
    let mut set = TargetSet::new(TargetSetSettings::default());
    let keys: Vec<TargetKey> = (0..count)
        .map(|_| set.insert(4, Locality::SameZone))
        .collect();
    for key in &keys {
        set.start(*key, now);
    }
    let mut at = now;
    for _ in 0..5 {
        at += ms(100);
        for key in &keys {
            set.record_pause(*key, ms(100), MAX_PAUSE, at);
        }
    }
    (set, keys, at)
}

/// Guards against requests that are sent to a group that has stalled, until its targets
/// decline them all at once.
#[test]
fn choose_first_stalled_group() {
    let (mut set, _, stalled) = streaming_targets(3, Instant::now());
    let mut rng = SmallRng::seed_from_u64(1);
    let early = stalled + ms(300);
    assert!(set.choose_first(ms(200), &[], early, &mut rng).is_some());
    assert!(!set.is_out(early));
    let late = stalled + ms(600);
    assert_eq!(set.choose_first(ms(200), &[], late, &mut rng), None);
    assert!(set.is_out(late));
    // Services without priorities keep the choice that they had.
    assert!(set.choose_within(ms(200), &[], late, &mut rng).is_some());
}

/// Guards against idle targets, and those with a request that has not begun, that are taken
/// for stalled.
#[test]
fn choose_first_quiet_target() {
    let now = Instant::now();
    let (mut set, keys, last) = streaming_targets(1, now);
    let mut rng = SmallRng::seed_from_u64(1);
    set.end(keys[0], DispatchOutcome::Answered, last);
    let later = last + ms(900);
    assert!(!set.is_out(later));
    set.start(keys[0], later);
    let waiting = later + ms(600);
    assert_eq!(
        set.choose_first(ms(200), &[], waiting, &mut rng),
        Some(keys[0])
    );
}

/// Guards against a target without streams that hides that its group has stalled, and
/// against one stalled target that is taken for an outage of all.
#[test]
fn is_out_with_idle_target() {
    let now = Instant::now();
    let (mut set, keys, last) = streaming_targets(3, now);
    set.end(keys[0], DispatchOutcome::Answered, last);
    assert!(!set.is_out(last + ms(300)));
    let stalled = last + ms(600);
    assert!(set.is_out(stalled));
    set.record_pause(keys[1], ms(100), MAX_PAUSE, stalled);
    assert!(!set.is_out(stalled + ms(100)));
}

/// Guards against targets of unknown load that hide an outage of all that an entry uses.
#[test]
fn is_out_with_unknown_targets() {
    let now = Instant::now();
    let (mut set, keys, stalled) = streaming_targets(4, now);
    let (preferred, others) = keys.split_at(2);
    for key in others {
        set.end(*key, DispatchOutcome::Answered, stalled);
    }
    for key in preferred {
        set.prefer(*key, 2);
    }
    let load = ReportedLoad {
        running: 1,
        waiting: 0,
    };
    set.report_load(others[0], load, stalled);
    assert!(!set.is_out(stalled + ms(400)));
    assert!(set.is_out(stalled + ms(600)));
}

/// Guards against a group that is back, but for seconds has only the target that was tried
/// first: failures of several streams at once eject the others for long.
#[test]
fn record_return_after_broken_streams() {
    let now = Instant::now();
    let (mut set, keys, failed) = streaming_targets(3, now);
    for key in &keys {
        for _ in 0..4 {
            set.start(*key, failed);
            set.end(*key, DispatchOutcome::Failed, failed);
        }
    }
    let returned = failed + ms(600);
    assert!(set.is_out(returned));
    set.record_return(returned);
    let mut rng = SmallRng::seed_from_u64(1);
    for tried in [&[][..], &keys[..1], &keys[..2]] {
        let key = set.choose_within(ms(200), tried, returned, &mut rng);
        assert!(key.is_some_and(|key| !tried.contains(&key)), "{tried:?}");
    }
}
