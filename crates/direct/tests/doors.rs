//! When an entry is ready for callers, and how it shuts down.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use direct::Readiness;
use member::EntryReport;
use node::{Watcher, WatcherSettings};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};
use wire::{ClusterKey, Identity, LinkSettings, Role};

fn watcher() -> Watcher {
    let here = EntryReport {
        name: "entry-0".to_owned(),
        incarnation: 1,
        sequence: 0,
        zone: "zone-0".to_owned(),
        region: "region".to_owned(),
        address: "127.0.0.1:80".parse().unwrap(),
        open: false,
        table: 0,
        table_digest: None,
        evacuations: 0,
    };
    let cfg = WatcherSettings {
        seeds: watch::channel(Vec::new()).1,
        report_interval: Duration::from_millis(500),
        check_in_interval: Duration::from_millis(1_200),
        key: ClusterKey::from_bytes(b"cluster key of this test").unwrap(),
        link: LinkSettings::default(),
        decode: |_| Ok(table::Table::default()),
    };
    Watcher::spawn(Identity::new(Role::Entry, "entry-0", 1), here, cfg)
}

/// An entry without a route table would tell every caller that no route matches.
#[tokio::test(start_paused = true)]
async fn not_ready_without_route_table() {
    let readiness = Readiness::spawn(watcher());
    tokio::time::sleep(Duration::from_mins(1)).await;
    assert!(!readiness.is_ready());
    assert!(!readiness.is_shutting_down());
}

/// Callers learn with some delay that an entry shuts down. If it stopped at once,
/// their next requests would fail; if it accepted requests to the end, the last
/// ones would be aborted when the process is killed.
#[tokio::test(start_paused = true)]
async fn shutdown_leaves_time_to_finish() {
    let readiness = Readiness::spawn(watcher());
    let grace = Duration::from_secs(8);
    let started = Instant::now();
    let shutting_down = readiness.clone();
    let announced = tokio::spawn(async move { shutting_down.announce_shutdown(grace).await });
    tokio::task::yield_now().await;
    assert!(readiness.is_shutting_down());
    assert!(!readiness.is_ready());
    timeout(grace, announced).await.unwrap().unwrap();
    let elapsed = started.elapsed();
    assert!(elapsed > Duration::ZERO);
    assert!(elapsed + Readiness::drain_timeout(grace) < grace);
    assert!(Readiness::drain_timeout(grace) >= grace / 2);
}
