//! Waiting while no target is available.

use route::StartupGrace;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(8);

/// Guards against refusing requests during a restart of the whole system. A thousand
/// requests are retried while the entries start, and a target is available after 1 s.
/// Callers that were refused would not retry again.
#[test]
fn wait_until_covers_restart() {
    let grace = StartupGrace::default();
    let outage_start = Instant::now();
    let target_back = outage_start + Duration::from_secs(1);
    let answered = (0..1_000).filter(|millis| {
        let arrival = outage_start + Duration::from_millis(*millis);
        let until = grace.wait_until(outage_start, arrival + TIMEOUT, arrival);
        until.is_some_and(|until| until >= target_back)
    });
    assert_eq!(answered.count(), 1_000);
}

/// Guards against holding requests while a service has no targets for a long time. They
/// must be refused immediately.
#[test]
fn wait_until_in_long_outage() {
    let grace = StartupGrace::default();
    let outage_start = Instant::now();
    for seconds in 2..60 {
        let now = outage_start + Duration::from_secs(seconds);
        assert_eq!(grace.wait_until(outage_start, now + TIMEOUT, now), None);
    }
}

/// Guards against using up the time of a request with a near deadline: most of it must be
/// left for the answer.
#[test]
fn wait_until_near_deadline() {
    let grace = StartupGrace::default();
    let now = Instant::now();
    let until = grace.wait_until(now, now + Duration::from_millis(300), now);
    assert_eq!(until, Some(now + Duration::from_millis(100)));
    assert_eq!(grace.wait_until(now, now, now), None);
}
