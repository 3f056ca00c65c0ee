//! Disks that become full, fail or stall under a running cluster.

use crate::cluster::{Cluster, WAIT_TIMEOUT, note_command, propose_to, wait_for};
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use store::Ops;
use tokio::time::timeout;
use wire::proto::{NoteQuery, RouteTable, command, outcome, query};

/// The disk of the leader is full. It refuses notes with the reason, still answers reads,
/// and accepts notes again once there is free space.
#[tokio::test(flavor = "multi_thread")]
async fn leader_disk_full() {
    let mut cluster = Cluster::prepare(1).await;
    control::init(&cluster.settings("r1")).unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let is_full = Arc::clone(&full);
    let real = Ops::default();
    let ops = Ops {
        write: Arc::new(move |path, file, bytes| {
            if is_full.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::StorageFull.into());
            }
            (real.write)(path, file, bytes)
        }),
        ..Ops::default()
    };
    cluster.start_replica_with("r1", ops).await;
    cluster.submit_up_to(1).await;
    full.store(true, Ordering::Relaxed);
    let link = cluster.dial("r1").await;
    let note = note_command(&json!({"number": 2}), "anna");
    let answer = propose_to(&link, note.clone()).await;
    let Some(outcome::Body::Unavailable(unknown)) = answer else {
        panic!("accepted: {answer:?}");
    };
    assert!(unknown.maybe && unknown.reason.contains("full"));
    assert_eq!(cluster.leader_status().await["disk_full"], true);
    let answer = propose_to(&link, note).await;
    let Some(outcome::Body::Unavailable(refused)) = answer else {
        panic!("accepted: {answer:?}");
    };
    assert!(!refused.maybe && refused.reason.contains("full"));
    cluster
        .query(query::Body::Note(NoteQuery { number: 0 }))
        .await;
    full.store(false, Ordering::Relaxed);
    wait_for("room", async || {
        (cluster.leader_status().await["disk_full"] == false).then_some(())
    })
    .await;
    cluster.submit_up_to(3).await;
}

/// A sync fails at the leader. It must stop, because the contents of its disk are unknown.
/// The others continue and hold every acknowledged entry.
#[tokio::test(flavor = "multi_thread")]
async fn leader_sync_fails() {
    let mut cluster = Cluster::start(3).await;
    cluster.submit_up_to(2).await;
    let leader = cluster.leader().await;
    cluster.stop_replica(&leader).await;
    let failing = Arc::new(AtomicBool::new(false));
    let is_failing = Arc::clone(&failing);
    let real = Ops::default();
    let ops = Ops {
        sync: Arc::new(move |path, file| {
            if is_failing.load(Ordering::Relaxed) {
                return Err(io::Error::other("input/output error"));
            }
            (real.sync)(path, file)
        }),
        ..Ops::default()
    };
    cluster.start_replica_with(&leader, ops).await;
    cluster.wait_repaired().await;
    failing.store(true, Ordering::Relaxed);
    cluster.submit_up_to(5).await;
    let stopped = cluster.control(&leader).stopped();
    assert!(timeout(WAIT_TIMEOUT, stopped).await.is_ok());
    cluster.leader_other_than(&leader).await;
    cluster.submit_up_to(6).await;
}

/// A replica is shut down while its disk is slow. An operator who then copies or removes
/// the data folder must not find files still being created there, so the shutdown must not
/// complete before the last write does.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_waits_for_disk() {
    let mut cluster = Cluster::prepare(1).await;
    control::init(&cluster.settings("r1")).unwrap();
    let slow = Arc::new(AtomicBool::new(false));
    let blocked = Arc::new(AtomicBool::new(false));
    let (is_slow, is_blocked) = (Arc::clone(&slow), Arc::clone(&blocked));
    let real = Ops::default();
    let ops = Ops {
        sync: Arc::new(move |path, file| {
            while is_slow.load(Ordering::Relaxed) {
                is_blocked.store(true, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(5));
            }
            (real.sync)(path, file)
        }),
        ..Ops::default()
    };
    cluster.start_replica_with("r1", ops).await;
    cluster.submit_up_to(1).await;
    slow.store(true, Ordering::Relaxed);
    let link = cluster.dial("r1").await;
    let note = note_command(&json!({"number": 2}), "anna");
    let unanswered = tokio::spawn(async move { propose_to(&link, note).await });
    wait_for("a sync", async || {
        blocked.load(Ordering::Relaxed).then_some(())
    })
    .await;
    let control = cluster.control("r1").clone();
    let mut stop = tokio::spawn(async move { control.shutdown().await });
    assert!(timeout(Duration::from_secs(1), &mut stop).await.is_err());
    slow.store(false, Ordering::Relaxed);
    timeout(WAIT_TIMEOUT, stop).await.unwrap().unwrap();
    unanswered.abort();
    cluster.wipe_disk("r1");
}

/// The disk of one replica stalls briefly while notes are accepted. An operator who waits
/// for a repair to complete under such a load must see it complete, although one replica
/// always lacks the newest entry.
#[tokio::test(flavor = "multi_thread")]
async fn repair_complete_under_load() {
    const HOUR_MS: u64 = 3_600_000;
    let (cluster, _stalled) = cluster_with_stalled_disk(HOUR_MS).await;
    assert_eq!(cluster.leader_status().await["repair"], "complete");
}

/// The disk of one replica stalls permanently while its links stay open, so only its
/// missing entries reveal the fault.
#[tokio::test(flavor = "multi_thread")]
async fn repair_reports_stalled_disk() {
    let (cluster, behind) = cluster_with_stalled_disk(50).await;
    wait_for("the replica to be reported as behind", async || {
        let repair = cluster.leader_status().await["repair"].clone();
        (repair == format!("{behind}: behind")).then_some(())
    })
    .await;
}

/// Starts three replicas, stalls every sync of a follower's disk and then submits two
/// notes. Returns the cluster and the name of the follower.
async fn cluster_with_stalled_disk(lag_ms: u64) -> (Cluster, String) {
    let mut cluster = Cluster::prepare(3).await;
    cluster.lag_ms = lag_ms;
    cluster.init_and_start().await;
    let leader = cluster.leader().await;
    let names = cluster.names();
    let follower = names.into_iter().find(|name| *name != leader).unwrap();
    cluster.stop_replica(&follower).await;
    let stalled = Arc::new(AtomicBool::new(false));
    let is_stalled = Arc::clone(&stalled);
    let real = Ops::default();
    let ops = Ops {
        sync: Arc::new(move |path, file| {
            while is_stalled.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(5));
            }
            (real.sync)(path, file)
        }),
        ..Ops::default()
    };
    cluster.start_replica_with(&follower, ops).await;
    cluster.wait_repaired().await;
    cluster.wait_caught_up(&follower).await;
    stalled.store(true, Ordering::Relaxed);
    cluster.submit_up_to(2).await;
    (cluster, follower)
}

/// Guards against a control that refuses to start on a slow disk, as if another process
/// had its folder.
#[tokio::test(flavor = "multi_thread")]
async fn start_slow_disk() {
    let mut cluster = Cluster::prepare(1).await;
    let synced = AtomicBool::new(false);
    let real = Ops::default();
    let ops = Ops {
        sync: Arc::new(move |path, file| {
            if !synced.swap(true, Ordering::Relaxed) {
                // Longer than a control waits for another process.
                std::thread::sleep(Duration::from_secs(6));
            }
            (real.sync)(path, file)
        }),
        ..Ops::default()
    };
    cluster.start_replica_with("r1", ops).await;
}

/// Operations on files that fail a few times with this error, one after the other.
fn failing_at_first(kind: io::ErrorKind) -> Ops {
    const FAILURES: usize = 3;
    let failures = Arc::new(AtomicUsize::new(0));
    let fails = {
        let failures = Arc::clone(&failures);
        move || failures.fetch_add(1, Ordering::Relaxed) < FAILURES
    };
    let real = Ops::default();
    Ops {
        create: Arc::new(move |path| {
            if fails() {
                return Err(kind.into());
            }
            (real.create)(path)
        }),
        ..Ops::default()
    }
}

/// Guards against replicas that exit at their first start because the disk is full or
/// read-only for a moment.
#[tokio::test(flavor = "multi_thread")]
async fn start_blank_disk_not_writable_yet() {
    for kind in [
        io::ErrorKind::StorageFull,
        io::ErrorKind::ReadOnlyFilesystem,
        io::ErrorKind::Other,
    ] {
        let mut cluster = Cluster::prepare(1).await;
        cluster
            .start_replica_with("r1", failing_at_first(kind))
            .await;
    }
}

/// Half of a disk of 128 MiB.
const MAX_FOLDER_BYTES: u64 = 64 << 20;
const LARGE_TABLE_BYTES: usize = 1 << 20;

/// Time that a sync of a slow disk takes.
const SLOW_SYNC: Duration = Duration::from_millis(100);

fn large_table(number: u64) -> command::Body {
    command::Body::RouteTable(RouteTable {
        number,
        source: vec![b' '; LARGE_TABLE_BYTES].into(),
        ..RouteTable::default()
    })
}

fn folder_bytes(cluster: &Cluster, name: &str) -> u64 {
    let files = std::fs::read_dir(cluster.data(name)).unwrap();
    // A file may be removed meanwhile.
    let sizes = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len()));
    sizes.sum()
}

/// Guards against a log of large tables that fills the disks of all replicas.
#[tokio::test(flavor = "multi_thread")]
async fn large_tables_changed_often() {
    let cluster = Cluster::start(3).await;
    for number in 1..=100 {
        cluster.propose(large_table(number)).await;
        for name in cluster.names() {
            let bytes = folder_bytes(&cluster, &name);
            assert!(bytes < MAX_FOLDER_BYTES, "{bytes} at {name}");
        }
    }
}

/// Guards against a log that grows with the content of tables that change nothing.
#[tokio::test(flavor = "multi_thread")]
async fn large_table_superseded() {
    let cluster = Cluster::start(1).await;
    cluster.propose(large_table(7)).await;
    let before = folder_bytes(&cluster, "r1");
    for number in 1..=7 {
        let outcome = cluster.propose(large_table(number)).await;
        assert!(matches!(outcome, outcome::Body::RouteTable(o) if o.newest == 7));
    }
    let grown = folder_bytes(&cluster, "r1") - before;
    assert!(grown < LARGE_TABLE_BYTES as u64, "{grown}");
}

/// Starts three replicas whose syncs are slow.
async fn start_slow_disks() -> Cluster {
    let mut cluster = Cluster::prepare(3).await;
    control::init(&cluster.settings("r1")).unwrap();
    for name in cluster.names() {
        let real = Ops::default();
        let ops = Ops {
            sync: Arc::new(move |path, file| {
                std::thread::sleep(SLOW_SYNC);
                (real.sync)(path, file)
            }),
            ..Ops::default()
        };
        cluster.start_replica_with(&name, ops).await;
    }
    cluster.wait_repaired().await;
    cluster
}

/// Guards against a log that grows with each of many tables proposed while one is not
/// committed yet, because followers are slow.
#[tokio::test(flavor = "multi_thread")]
async fn large_tables_at_once() {
    const TABLES: u64 = 40;
    let cluster = start_slow_disks().await;
    let leader = cluster.leader().await;
    let before = folder_bytes(&cluster, &leader);
    let link = cluster.dial(&leader).await;
    let tables = (1..=TABLES).map(async |number| {
        let outcome = propose_to(&link, large_table(number)).await;
        (number, outcome)
    });
    for (number, outcome) in futures_util::future::join_all(tables).await {
        match outcome {
            Some(outcome::Body::RouteTable(o)) => assert!(o.newest >= number),
            // Another leader was elected.
            None | Some(outcome::Body::Unavailable(_)) => {}
            other => panic!("unexpected outcome {other:?}"),
        }
    }
    let outcome = cluster.propose(large_table(TABLES)).await;
    assert!(matches!(outcome, outcome::Body::RouteTable(o) if o.newest == TABLES));
    let grown = folder_bytes(&cluster, &leader) - before;
    assert!(grown < TABLES / 4 * LARGE_TABLE_BYTES as u64, "{grown}");
}

/// Guards against tables that are refused because one that waits with them is too long.
#[tokio::test(flavor = "multi_thread")]
async fn table_too_long_beside_others() {
    let cluster = start_slow_disks().await;
    let link = cluster.dial(&cluster.leader().await).await;
    let too_long = command::Body::RouteTable(RouteTable {
        number: 4,
        source: vec![b' '; 4 << 20].into(),
        ..RouteTable::default()
    });
    let tables = [large_table(1), large_table(2), too_long, large_table(3)];
    let proposed = tables.map(|table| propose_to(&link, table));
    let outcomes = futures_util::future::join_all(proposed).await;
    let is_lasting = |outcome: &Option<outcome::Body>| match outcome {
        Some(outcome::Body::Unavailable(refused)) => refused.lasting,
        _ => false,
    };
    let refused: Vec<bool> = outcomes.iter().map(is_lasting).collect();
    assert_eq!(refused, [false, false, true, false], "{outcomes:?}");
}
