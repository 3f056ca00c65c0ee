//! Loads under which work must be turned away or spread.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::{
    DispatchOutcome, Locality, ReportedLoad, StepTimeModel, TargetKey, TargetSet, TargetSetSettings,
};
use std::time::{Duration, Instant};

const SLOTS: u32 = 12;
const LATE: Duration = Duration::from_millis(120);

fn engines(count: usize) -> (TargetSet, Vec<TargetKey>) {
    let pace = StepTimeModel::new(Duration::from_micros(5_850), Duration::from_micros(355));
    let mut target_set = TargetSet::new(TargetSetSettings {
        queue_per_slot: 0.15,
        step_time: Some(pace),
        ..TargetSetSettings::default()
    });
    let keys = (0..count).map(|_| target_set.insert(SLOTS, Locality::SameZone));
    let keys = keys.collect();
    (target_set, keys)
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(7)
}

/// Sends requests until all targets are full; how many each got.
fn fill(target_set: &mut TargetSet, keys: &[TargetKey], now: Instant) -> Vec<u32> {
    let mut rng = rng();
    while let Some(key) = target_set.choose(&[], now, &mut rng) {
        target_set.start(key);
    }
    keys.iter().map(|key| target_set.running(*key)).collect()
}

/// A burst asks for more than all slots. Were the excess sent on, each that
/// waits would begin after its objective, and so would all that come later
/// until the queues have emptied.
#[test]
fn choose_burst_beyond_slots() {
    let (mut target_set, keys) = engines(4);
    let sent = fill(&mut target_set, &keys, Instant::now());
    assert_eq!(sent, [14, 14, 14, 14]);
}

/// The experts in demand change, and passes take two and a half times as long
/// until the next map. With all slots in use every stream would pause for
/// longer than is on time; with fewer, those that are let in are on time.
#[test]
fn choose_while_streams_pause() {
    let (mut target_set, keys) = engines(1);
    let now = Instant::now();
    for _ in 0..12 {
        target_set.start(keys[0]);
    }
    for event in 0..20 {
        let at = now + Duration::from_millis(140) * event;
        target_set.record_pause(keys[0], Duration::from_millis(140), LATE, at);
    }
    let now = now + Duration::from_millis(140) * 20;
    assert_eq!(target_set.choose(&[], now, &mut rng()), None);
    for _ in 0..7 {
        target_set.end(keys[0], DispatchOutcome::Answered, now);
    }
    assert_eq!(target_set.choose(&[], now, &mut rng()), Some(keys[0]));
}

/// The next map has come and pauses are short again. What was measured before
/// must not keep callers out.
#[test]
fn choose_after_pauses_of_long_ago() {
    let (mut target_set, keys) = engines(1);
    let now = Instant::now();
    for _ in 0..12 {
        target_set.start(keys[0]);
    }
    target_set.record_pause(keys[0], Duration::from_millis(300), LATE, now);
    assert_eq!(target_set.choose(&[], now, &mut rng()), None);
    let later = now + Duration::from_secs(2);
    assert_eq!(target_set.choose(&[], later, &mut rng()), Some(keys[0]));
}

/// Half of the slots stay in use however long the pauses are: late answers
/// are worth more than none.
#[test]
fn choose_with_hopeless_pauses() {
    let (mut target_set, keys) = engines(1);
    let now = Instant::now();
    target_set.record_pause(keys[0], Duration::from_secs(1), LATE, now);
    assert_eq!(fill(&mut target_set, &keys, now), [6]);
}

/// Other entries send to the same targets. An entry that counted only its own
/// requests would fill a target that is full already.
#[test]
fn choose_by_what_others_send() {
    let (mut target_set, keys) = engines(2);
    let now = Instant::now();
    target_set.start(keys[0]);
    let busy = ReportedLoad {
        running: 12,
        waiting: 2,
    };
    target_set.report_load(keys[0], busy, now);
    let mut rng = rng();
    for _ in 0..5 {
        let key = target_set.choose(&[], now, &mut rng).unwrap();
        assert_eq!(key, keys[1]);
        target_set.start(key);
    }
}

/// A target refuses connections. Without a pause each request would try it
/// first, since it runs nothing and looks free.
#[test]
fn choose_not_the_failing_one() {
    let (mut target_set, keys) = engines(2);
    let now = Instant::now();
    target_set.start(keys[0]);
    target_set.end(keys[0], DispatchOutcome::Failed, now);
    let mut rng = rng();
    for _ in 0..10 {
        let key = target_set.choose(&[], now, &mut rng).unwrap();
        assert_eq!(key, keys[1]);
        target_set.start(key);
    }
    let later = now + Duration::from_secs(1);
    assert_eq!(target_set.choose(&[], later, &mut rng), Some(keys[0]));
}

/// All targets failed lately, as when the network was cut for a moment. One
/// of them is tried all the same, or nobody would notice that they are back.
#[test]
fn choose_among_failed_only() {
    let (mut target_set, keys) = engines(2);
    let now = Instant::now();
    for key in &keys {
        target_set.start(*key);
        target_set.end(*key, DispatchOutcome::Failed, now);
    }
    assert!(target_set.choose(&[], now, &mut rng()).is_some());
}

/// Bytes between availability zones are dear. With loads alike the near target
/// is taken; once it runs more, distance must not let it fill up alone.
#[test]
fn choose_near_while_loads_are_alike() {
    let mut target_set = TargetSet::new(TargetSetSettings::default());
    let near = target_set.insert(SLOTS, Locality::SameZone);
    let far = target_set.insert(SLOTS, Locality::OtherZone);
    let now = Instant::now();
    let mut rng = rng();
    for _ in 0..20 {
        let key = target_set.choose(&[], now, &mut rng).unwrap();
        target_set.start(key);
    }
    let running = (target_set.running(near), target_set.running(far));
    assert!([(10, 10), (11, 9)].contains(&running), "{running:?}");
    assert_eq!(target_set.choose(&[near], now, &mut rng), Some(far));
}

/// All targets of a service have been started anew, and their old names are still
/// known. Each request would spend its tries on addresses that decline it.
#[test]
fn choose_replaced_targets() {
    let (mut target_set, keys) = engines(2);
    let mut now = Instant::now();
    for _ in &keys {
        let key = target_set.choose(&[], now, &mut rng()).unwrap();
        target_set.start(key);
        target_set.end(key, DispatchOutcome::Replaced, now);
        // What was told before says nothing of its end.
        target_set.record_announcement(key, now);
        now += Duration::from_secs(30);
    }
    assert!(!target_set.has_available());
    assert_eq!(target_set.choose(&[], now, &mut rng()), None);
    target_set.record_announcement(keys[0], now);
    assert_eq!(target_set.choose(&[], now, &mut rng()), Some(keys[0]));
}

/// A group forms anew and declines everything for 1.4 s, while a request comes
/// every 5 ms and again whenever it was declined. Each one that is sent costs the
/// service a retry; were all sent, none would be left when the group is back.
#[test]
fn choose_while_all_decline() {
    let (mut target_set, keys) = engines(8);
    let mut rng = rng();
    let began = Instant::now();
    let back = began + Duration::from_millis(1_400);
    let mut now = began;
    let mut declined = 0;
    while now < back {
        while let Some(key) = target_set.choose(&[], now, &mut rng) {
            target_set.start(key);
            target_set.report_load(
                key,
                ReportedLoad {
                    running: 0,
                    waiting: 0,
                },
                now,
            );
            target_set.end(key, DispatchOutcome::Declined, now);
            declined += 1;
        }
        assert!(!target_set.has_available());
        now += Duration::from_millis(5);
    }
    // Each once at first, and then one of them at a time.
    assert!((8..=8 + 56).contains(&declined), "{declined}");
    let due = target_set.next_probe().unwrap();
    let trial = target_set.choose(&[], due, &mut rng).unwrap();
    target_set.start(trial);
    assert_eq!(target_set.choose(&[], due, &mut rng), None);
    // It runs, so the others of its group do too.
    let later = target_set.next_probe().unwrap();
    let sent = (0..40).filter_map(|_| {
        let key = target_set.choose(&[], later, &mut rng)?;
        target_set.start(key);
        Some(key)
    });
    assert_eq!(sent.count(), 40);
    assert!(keys.iter().all(|key| target_set.running(*key) >= 5));
}

/// A target is full and says so. Nobody waits for it to be available again; what comes
/// goes to the other one, and is refused when that is full too.
#[test]
fn choose_declined_by_full_target() {
    let (mut target_set, keys) = engines(1);
    let now = Instant::now();
    target_set.start(keys[0]);
    target_set.report_load(
        keys[0],
        ReportedLoad {
            running: SLOTS,
            waiting: 3,
        },
        now,
    );
    target_set.end(keys[0], DispatchOutcome::Declined, now);
    assert!(target_set.has_available());
    assert_eq!(target_set.choose(&[], now, &mut rng()), None);
}

/// Guards against requests at a slow rank, which delay the streams of its
/// whole group.
#[test]
fn choose_slow_rank() {
    let (mut target_set, keys) = engines(3);
    target_set.set_slowdowns(&[(keys[0], 12.0), (keys[1], 1.0), (keys[2], 1.0)]);
    let sent = fill(&mut target_set, &keys, Instant::now());
    assert_eq!(sent, [0, 14, 14]);
}

/// Guards against refusing everything while all ranks are equally slow.
#[test]
fn choose_all_slow() {
    let (mut target_set, keys) = engines(2);
    target_set.set_slowdowns(&[(keys[0], 4.0), (keys[1], 4.0)]);
    let sent = fill(&mut target_set, &keys, Instant::now());
    assert_eq!(sent, [14, 14]);
}

/// Guards against streams that stay at a rank which has turned slow: they
/// would end in several times the usual time, and delay all others until then.
#[test]
fn sheds_rank_turned_slow() {
    let (mut target_set, keys) = engines(3);
    let now = Instant::now();
    for _ in 0..8 {
        target_set.start(keys[0]);
    }
    assert!(!target_set.should_migrate_streams(keys[0]));
    target_set.set_slowdowns(&[(keys[0], 12.0), (keys[1], 1.0), (keys[2], 1.0)]);
    assert!(target_set.should_migrate_streams(keys[0]));
    assert!(!target_set.should_migrate_streams(keys[1]));
    let moved = target_set.choose_for_migration(&[keys[0]], now, &mut rng());
    assert!(moved.is_some_and(|key| key != keys[0]));
}

/// Guards against streams that can't leave a slow rank since the pauses that
/// it causes make all others count as full.
#[test]
fn choose_to_move_while_streams_pause() {
    let (mut target_set, keys) = engines(2);
    let now = Instant::now();
    for _ in 0..8 {
        target_set.start(keys[1]);
    }
    target_set.record_pause(keys[1], LATE * 5, LATE, now);
    assert_eq!(target_set.choose(&[keys[0]], now, &mut rng()), None);
    let moved = target_set.choose_for_migration(&[keys[0]], now, &mut rng());
    assert_eq!(moved, Some(keys[1]));
}

/// Guards against callers who come back too late for their objective taking
/// the places of those who would still be on time.
#[test]
fn choose_in_missed_objective() {
    let (mut target_set, keys) = engines(2);
    let (now, mut rng) = (Instant::now(), rng());
    while let Some(key) = target_set.choose_within(Duration::ZERO, &[], now, &mut rng) {
        target_set.start(key);
    }
    assert_eq!(
        keys.iter().map(|key| target_set.running(*key)).sum::<u32>(),
        18
    );
    let sent = fill(&mut target_set, &keys, now);
    assert_eq!(sent, [14, 14]);
}

/// Guards against letting in what waits for a slot until its objective is over:
/// all that come while the engines are full would be late.
#[test]
fn choose_in_time_for_a_slot() {
    let (mut target_set, keys) = engines(1);
    let (now, mut rng) = (Instant::now(), rng());
    target_set.record_duration(Duration::from_millis(2_400));
    let objective = Duration::from_millis(400);
    while let Some(key) = target_set.choose_within(objective, &[], now, &mut rng) {
        target_set.start(key);
    }
    assert_eq!(target_set.running(keys[0]), SLOTS + 1);
}
