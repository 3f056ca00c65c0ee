//! How long requests wait while nothing takes them.

use route::StartupGrace;
use std::time::{Duration, Instant};

const STREAM: Duration = Duration::from_secs(8);

/// Power was lost everywhere and a thousand requests come back while the entries
/// start. A target is there after a second: all that wait as long are answered,
/// and were they refused instead, those who have come back once would be lost.
#[test]
fn waits_until_targets_are_back() {
    let absence = StartupGrace::default();
    let began = Instant::now();
    let back = began + Duration::from_secs(1);
    let waiting = (0..1_000).filter(|n| {
        let came = began + Duration::from_millis(*n);
        let until = absence.wait_until(began, came + STREAM, came);
        until.is_some_and(|until| until >= back)
    });
    assert_eq!(waiting.count(), 1_000);
}

/// A service has no target for good. Each request is told so at once, and none is
/// held until its time is nearly over.
#[test]
fn waits_until_absent_for_long() {
    let absence = StartupGrace::default();
    let began = Instant::now();
    for later in 2..60 {
        let now = began + Duration::from_secs(later);
        assert_eq!(absence.wait_until(began, now + STREAM, now), None);
    }
}

/// A caller with little time left keeps most of it for the answer.
#[test]
fn waits_until_little_time_left() {
    let absence = StartupGrace::default();
    let now = Instant::now();
    let until = absence.wait_until(now, now + Duration::from_millis(300), now);
    assert_eq!(until, Some(now + Duration::from_millis(100)));
    assert_eq!(absence.wait_until(now, now, now), None);
}
