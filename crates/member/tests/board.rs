//! State of a report store after reports arrived late, repeatedly or out of order.

use member::{
    AliveEffect, EntryReport, OverdueTargets, Presence, ReportEffect, ReportStore, TargetReport,
};
use std::time::{Duration, Instant};

fn report(id: &str, address: &str, started_ms: u64, sequence: u64) -> TargetReport {
    TargetReport {
        id: id.to_owned(),
        service: "order-desk".to_owned(),
        address: address.parse().unwrap(),
        zone: "celje".to_owned(),
        slots: 6,
        presence: Presence::Ready,
        started_ms,
        sequence,
        cold: Duration::ZERO,
    }
}

fn presence(store: &ReportStore, id: &str) -> Option<Presence> {
    store.target(id).map(|report| report.presence)
}

#[test]
fn record_target_again() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    assert_eq!(
        store.record_target(report("a", "127.0.0.1:1", 5, 1), now),
        ReportEffect::Changed
    );
    assert_eq!(
        store.record_target(report("a", "127.0.0.1:1", 5, 2), now),
        ReportEffect::Refreshed
    );
    let mut draining = report("a", "127.0.0.1:1", 5, 3);
    draining.presence = Presence::Draining;
    assert_eq!(store.record_target(draining, now), ReportEffect::Changed);
}

/// Guards against applying a delayed "ready" report that arrives after a "draining"
/// one: the leaving target would get new work.
#[test]
fn record_target_older_sequence() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    let mut draining = report("a", "127.0.0.1:1", 5, 3);
    draining.presence = Presence::Draining;
    store.record_target(draining, now);
    assert_eq!(
        store.record_target(report("a", "127.0.0.1:1", 5, 2), now),
        ReportEffect::Stale
    );
    assert_eq!(presence(&store, "a"), Some(Presence::Draining));
}

/// Guards against comparing sequence numbers only. A target that restarts under the same
/// identifier numbers its reports from 1 again, and would be ignored for as long as it
/// ran before.
#[test]
fn record_target_restarted_under_same_id() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    store.record_target(report("a", "127.0.0.1:1", 5, 90), now);
    store.record_departure("a", None, now);
    assert_eq!(
        store.record_target(report("a", "127.0.0.1:1", 6, 1), now),
        ReportEffect::Changed
    );
    assert_eq!(presence(&store, "a"), Some(Presence::Ready));
}

/// Guards against applying a delayed report of a crashed target whose address was
/// assigned to another service: requests of one service would go to the other.
#[test]
fn record_target_late_at_reused_address() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    store.record_target(report("old", "127.0.0.1:1", 5, 1), now);
    store.record_target(report("new", "127.0.0.1:1", 9, 1), now);
    assert_eq!(presence(&store, "old"), Some(Presence::Gone));
    assert_eq!(
        store.record_target(report("old", "127.0.0.1:1", 5, 2), now),
        ReportEffect::Stale
    );
    assert_eq!(presence(&store, "new"), Some(Presence::Ready));
}

/// Guards against the report of another writer that takes a sound target's address and keeps
/// the target out of use although it goes on reporting.
#[test]
fn record_target_address_claimed_once() {
    let second = Duration::from_secs(1);
    for claim_started in [5, 9, u64::MAX] {
        let now = Instant::now();
        let mut store = ReportStore::default();
        store.record_target(report("sound", "127.0.0.1:1", 5, 1), now);
        store.record_target(report("claim", "127.0.0.1:1", claim_started, 1), now);
        assert_eq!(presence(&store, "sound"), Some(Presence::Gone));
        for turn in 1..=4_u32 {
            let sequence = u64::from(turn) + 1;
            let sound = report("sound", "127.0.0.1:1", 5, sequence);
            store.record_target(sound, now + second * turn);
        }
        assert_eq!(presence(&store, "sound"), Some(Presence::Ready));
    }
}

/// Guards against a delayed report of a crashed target after the one that took its address
/// has left.
#[test]
fn record_target_late_after_successor_left() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    store.record_target(report("old", "127.0.0.1:1", 5, 1), now);
    store.record_target(report("new", "127.0.0.1:1", 9, 1), now);
    store.record_departure("new", None, now);
    let later = now + Duration::from_mins(1);
    assert_eq!(
        store.record_target(report("old", "127.0.0.1:1", 5, 2), later),
        ReportEffect::Stale
    );
}

/// Guards against a target that has left returning through an earlier report that
/// arrives late: its process has ended.
#[test]
fn record_departure_then_late_report() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    store.record_target(report("a", "127.0.0.1:1", 5, 1), now);
    assert!(store.record_departure("a", None, now).is_some());
    let later = now + Duration::from_mins(1);
    store.remove_silent(Duration::from_secs(6), later);
    assert_eq!(
        store.record_target(report("a", "127.0.0.1:1", 5, 2), later),
        ReportEffect::Stale
    );
}

/// Guards against the report of an entry's earlier state, or of its earlier process, that
/// arrives late: callers would be sent to an entry that has closed.
#[test]
fn record_entry_late_report() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    let report = |incarnation, sequence, open| EntryReport {
        name: "entry-1".to_owned(),
        incarnation,
        sequence,
        zone: "celje".to_owned(),
        region: "r".to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        open,
        table: 0,
        table_digest: None,
        evacuations: 0,
    };
    let closed = report(7, 5, false);
    assert_eq!(store.record_entry(closed, now), ReportEffect::Changed);
    for late in [report(7, 4, true), report(6, 90, true)] {
        assert_eq!(store.record_entry(late, now), ReportEffect::Stale);
    }
}

#[test]
fn remove_silent_targets() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    store.record_target(report("a", "127.0.0.1:1", 5, 1), now);
    store.record_target(
        report("b", "127.0.0.1:2", 5, 1),
        now + Duration::from_secs(4),
    );
    store.remove_silent(Duration::from_secs(6), now + Duration::from_secs(7));
    assert_eq!(presence(&store, "a"), None);
    assert_eq!(presence(&store, "b"), Some(Presence::Ready));
}

/// Guards against a leaving target that keeps getting work: an entry that has missed the
/// "draining" report hears that the target is alive, and gets the report afterwards.
#[test]
fn record_alive_before_missed_report() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    let mut draining = report("a", "127.0.0.1:1", 5, 3);
    draining.presence = Presence::Draining;
    store.record_target(draining, now);
    // The target accepts work again, and the report of that is missed.
    assert_eq!(store.record_alive("a", 5, 5, now), AliveEffect::Missed);
    let ready = report("a", "127.0.0.1:1", 5, 4);
    assert_eq!(store.record_target(ready, now), ReportEffect::Changed);
    assert_eq!(store.record_alive("a", 5, 5, now), AliveEffect::Refreshed);
    let late = report("a", "127.0.0.1:1", 5, 4);
    assert_eq!(store.record_target(late, now), ReportEffect::Stale);
}

/// Guards against a target that gets all its requests again while it is cold a second
/// time, under the identifier that it had.
#[test]
fn cold_until_turns_cold_again() {
    let now = Instant::now();
    let cold = |sequence, ms| TargetReport {
        cold: Duration::from_millis(ms),
        ..report("i-1", "127.0.0.1:8080", 1, sequence)
    };
    let mut store = ReportStore::default();
    store.record_target(cold(1, 3_000), now);
    let later = now + Duration::from_millis(1_200);
    assert_eq!(
        store.record_target(cold(2, 1_800), later),
        ReportEffect::Refreshed
    );
    assert_eq!(store.cold_until("i-1"), Some(now + Duration::from_secs(3)));
    let warm = now + Duration::from_secs(10);
    assert_eq!(
        store.record_target(cold(3, 0), warm),
        ReportEffect::Refreshed
    );
    assert_eq!(
        store.record_target(cold(4, 3_000), warm),
        ReportEffect::Changed
    );
    assert_eq!(store.cold_until("i-1"), Some(warm + Duration::from_secs(3)));
}

/// Guards against traffic that grows with entries, replicas and targets when one target
/// falls silent: each entry names just that target, to a few replicas at a time.
#[test]
fn overdue_one_silent_target() {
    let now = Instant::now();
    let (check_in, replicas) = (Duration::from_secs(2), 9);
    for targets in [75, 750] {
        let mut store = ReportStore::default();
        let mut overdue = OverdueTargets::new(check_in);
        let mut named = 0;
        for tick in 0..40 {
            let at = now + Duration::from_millis(500) * tick;
            for target in 0..targets {
                // Check-ins reach an entry up to two seconds late.
                let is_due = (tick + target) % 8 == 0 || (tick + target) % 8 == 3;
                if (target == 0 && tick == 0) || (target > 0 && (tick == 0 || is_due)) {
                    let address = format!("127.0.0.1:{}", 1_000 + target);
                    let sequence = u64::from(tick + 1);
                    store.record_target(report(&format!("i-{target}"), &address, 1, sequence), at);
                }
            }
            let elapsed = at - now;
            for replica in 0..replicas {
                if OverdueTargets::is_asked(replica, replicas, elapsed) {
                    named += overdue.next(&store, at).len();
                }
            }
        }
        // The target is named from 5 to 16 s of silence, twice a second, to three replicas.
        assert_eq!(named, 66, "{targets} targets");
    }
}

/// Guards against targets that are never asked for because others before them stay silent.
#[test]
fn overdue_many_silent_targets() {
    let now = Instant::now();
    let mut store = ReportStore::default();
    for target in 0..200 {
        let address = format!("127.0.0.1:{}", 1_000 + target);
        store.record_target(report(&format!("i-{target:03}"), &address, 1, 1), now);
    }
    let mut overdue = OverdueTargets::new(Duration::from_secs(1));
    let at = now + Duration::from_secs(3);
    let mut named = std::collections::BTreeSet::new();
    for _ in 0..4 {
        named.extend(overdue.next(&store, at).into_iter().map(|report| report.id));
    }
    assert_eq!(named.len(), 200);
}
