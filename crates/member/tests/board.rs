//! What stands on a board after words came late, twice or from elsewhere.

use member::{Presence, ReportEffect, ReportStore, TargetReport};
use std::time::{Duration, Instant};

fn told(id: &str, address: &str, started_ms: u64, sequence: u64) -> TargetReport {
    TargetReport {
        id: id.to_owned(),
        service: "order-desk".to_owned(),
        address: address.parse().unwrap(),
        zone: "celje".to_owned(),
        slots: 6,
        presence: Presence::Ready,
        started_ms,
        sequence,
    }
}

fn presence(board: &ReportStore, id: &str) -> Option<Presence> {
    board.target(id).map(|told| told.presence)
}

#[test]
fn hear_again() {
    let now = Instant::now();
    let mut board = ReportStore::default();
    assert_eq!(
        board.record_target(told("a", "127.0.0.1:1", 5, 1), now),
        ReportEffect::Changed
    );
    assert_eq!(
        board.record_target(told("a", "127.0.0.1:1", 5, 2), now),
        ReportEffect::Refreshed
    );
    let mut draining = told("a", "127.0.0.1:1", 5, 3);
    draining.presence = Presence::Draining;
    assert_eq!(board.record_target(draining, now), ReportEffect::Changed);
}

/// A check-in that says "ready" is held up and arrives after one that says
/// "draining". Were it believed, the leaving target would get new work.
#[test]
fn hear_older_sequence() {
    let now = Instant::now();
    let mut board = ReportStore::default();
    let mut draining = told("a", "127.0.0.1:1", 5, 3);
    draining.presence = Presence::Draining;
    board.record_target(draining, now);
    assert_eq!(
        board.record_target(told("a", "127.0.0.1:1", 5, 2), now),
        ReportEffect::Stale
    );
    assert_eq!(presence(&board, "a"), Some(Presence::Draining));
}

/// A target starts again under its id and counts from 1 once more. Were only
/// the count compared, it would stay away for as long as it ran before.
#[test]
fn hear_same_id_born_later() {
    let now = Instant::now();
    let mut board = ReportStore::default();
    board.record_target(told("a", "127.0.0.1:1", 5, 90), now);
    board.record_departure("a", None, now);
    assert_eq!(
        board.record_target(told("a", "127.0.0.1:1", 6, 1), now),
        ReportEffect::Changed
    );
    assert_eq!(presence(&board, "a"), Some(Presence::Ready));
}

/// The address of a target that crashed is given to another service, and a
/// check-in that the first had sent arrives after that. Were it believed,
/// requests of one service would go to the other.
#[test]
fn hear_late_at_reused_address() {
    let now = Instant::now();
    let mut board = ReportStore::default();
    board.record_target(told("old", "127.0.0.1:1", 5, 1), now);
    board.record_target(told("new", "127.0.0.1:1", 9, 1), now);
    assert_eq!(presence(&board, "old"), Some(Presence::Gone));
    assert_eq!(
        board.record_target(told("old", "127.0.0.1:1", 5, 2), now),
        ReportEffect::Stale
    );
    assert_eq!(presence(&board, "new"), Some(Presence::Ready));
}

/// A target signs off and an earlier check-in of it comes after. It must not
/// be back: its process has ended.
#[test]
fn leave_then_late_word() {
    let now = Instant::now();
    let mut board = ReportStore::default();
    board.record_target(told("a", "127.0.0.1:1", 5, 1), now);
    assert!(board.record_departure("a", None, now).is_some());
    let later = now + Duration::from_mins(1);
    board.remove_silent(Duration::from_secs(6), later);
    assert_eq!(
        board.record_target(told("a", "127.0.0.1:1", 5, 2), later),
        ReportEffect::Stale
    );
}

#[test]
fn forget_silent() {
    let now = Instant::now();
    let mut board = ReportStore::default();
    board.record_target(told("a", "127.0.0.1:1", 5, 1), now);
    board.record_target(told("b", "127.0.0.1:2", 5, 1), now + Duration::from_secs(4));
    board.remove_silent(Duration::from_secs(6), now + Duration::from_secs(7));
    assert_eq!(presence(&board, "a"), None);
    assert_eq!(presence(&board, "b"), Some(Presence::Ready));
}
