//! When an entry takes callers, and how it stops.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use direct::Readiness;
use member::Entrance;
use node::{Watcher, WatcherSettings};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use wire::{ClusterKey, Identity, LinkSettings, Role};

fn watcher() -> Watcher {
    let here = Entrance {
        name: "entry-0".to_owned(),
        incarnation: 1,
        sequence: 0,
        zone: "celje".to_owned(),
        region: "region".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        open: false,
        table: 0,
    };
    let cfg = WatcherSettings {
        seeds: watch::channel(Vec::new()).1,
        report: Duration::from_millis(500),
        key: ClusterKey::from_bytes(b"a key of the test's own").unwrap(),
        link: LinkSettings::default(),
        decode: |_| Ok(table::Table::default()),
    };
    Watcher::spawn(Identity::new(Role::Entry, "entry-0", 1), here, cfg)
}

/// An entry that knows no route yet would answer each caller that nothing
/// leads there.
#[tokio::test(start_paused = true)]
async fn doors_shut_without_table() {
    let readiness = Readiness::spawn(watcher());
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert!(!readiness.is_ready());
    assert!(!readiness.is_shutting_down());
}

/// Callers learn with some delay that an entry leaves. Were it shut at once
/// they would find nobody; were it open to the end, what they send last would
/// be cut off when the process is killed.
#[tokio::test(start_paused = true)]
async fn doors_close_with_time_left_to_finish() {
    let readiness = Readiness::spawn(watcher());
    let grace = Duration::from_secs(8);
    let began = Instant::now();
    let closing = readiness.clone();
    let closed = tokio::spawn(async move { closing.announce_shutdown(grace).await });
    tokio::task::yield_now().await;
    assert!(readiness.is_shutting_down());
    assert!(!readiness.is_ready());
    timeout(grace, closed).await.unwrap().unwrap();
    let taken = began.elapsed();
    assert!(taken > Duration::ZERO);
    assert!(taken + Readiness::drain_timeout(grace) < grace);
    assert!(Readiness::drain_timeout(grace) >= grace / 2);
}
