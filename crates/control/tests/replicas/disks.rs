//! Disks that are full or fail, under a running cluster.

use crate::cluster::{Cluster, PATIENCE, note_command, propose_to, wait_for};
use serde_json::json;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use store::Ops;
use tokio::time::timeout;
use wire::proto::{NoteQuery, outcome, query};

/// The disk of the leader is full. It takes no note and says so, answers
/// reads, and goes on when there is room.
#[tokio::test(flavor = "multi_thread")]
async fn leader_disk_full() {
    let mut cluster = Cluster::prepared(1).await;
    control::init(&cluster.settings("r1")).unwrap();
    let full = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&full);
    let real = Ops::default();
    let ops = Ops {
        write: Arc::new(move |path, file, bytes| {
            if asked.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::StorageFull.into());
            }
            (real.write)(path, file, bytes)
        }),
        ..Ops::default()
    };
    cluster.up_with("r1", ops).await;
    cluster.submit_up_to(1).await;
    full.store(true, Ordering::Relaxed);
    let link = cluster.dial("r1").await;
    let note = note_command(&json!({"number": 2}), "anna");
    let answer = propose_to(&link, note.clone()).await;
    let Some(outcome::Body::Unavailable(unknown)) = answer else {
        panic!("taken: {answer:?}");
    };
    assert!(unknown.maybe && unknown.reason.contains("full"));
    assert_eq!(cluster.leader_status().await["disk_full"], true);
    let answer = propose_to(&link, note).await;
    let Some(outcome::Body::Unavailable(refused)) = answer else {
        panic!("taken: {answer:?}");
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

/// A sync fails at the leader. It must stop, since nobody knows what is on
/// its disk; the others go on, and hold all that was acknowledged.
#[tokio::test(flavor = "multi_thread")]
async fn leader_sync_fails() {
    let mut cluster = Cluster::start(3).await;
    cluster.submit_up_to(2).await;
    let leader = cluster.leader().await;
    cluster.down(&leader).await;
    let failing = Arc::new(AtomicBool::new(false));
    let asked = Arc::clone(&failing);
    let real = Ops::default();
    let ops = Ops {
        sync: Arc::new(move |path, file| {
            if asked.load(Ordering::Relaxed) {
                return Err(io::Error::other("input/output error"));
            }
            (real.sync)(path, file)
        }),
        ..Ops::default()
    };
    cluster.up_with(&leader, ops).await;
    cluster.repaired().await;
    failing.store(true, Ordering::Relaxed);
    cluster.submit_up_to(5).await;
    let stopped = cluster.control(&leader).stopped();
    assert!(timeout(PATIENCE, stopped).await.is_ok());
    cluster.leader_besides(&leader).await;
    cluster.submit_up_to(6).await;
}

/// A replica is asked to stop while its disk is slow. The operator who then
/// copies or removes the data folder must not meet files that still appear in
/// it, so the stop is not over before the disk's last write is.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_waits_for_disk() {
    let mut cluster = Cluster::prepared(1).await;
    control::init(&cluster.settings("r1")).unwrap();
    let slow = Arc::new(AtomicBool::new(false));
    let held = Arc::new(AtomicBool::new(false));
    let (asked, holding) = (Arc::clone(&slow), Arc::clone(&held));
    let real = Ops::default();
    let ops = Ops {
        sync: Arc::new(move |path, file| {
            while asked.load(Ordering::Relaxed) {
                holding.store(true, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(5));
            }
            (real.sync)(path, file)
        }),
        ..Ops::default()
    };
    cluster.up_with("r1", ops).await;
    cluster.submit_up_to(1).await;
    slow.store(true, Ordering::Relaxed);
    let link = cluster.dial("r1").await;
    let note = note_command(&json!({"number": 2}), "anna");
    let unanswered = tokio::spawn(async move { propose_to(&link, note).await });
    wait_for("a sync", async || {
        held.load(Ordering::Relaxed).then_some(())
    })
    .await;
    let control = cluster.control("r1").clone();
    let mut stop = tokio::spawn(async move { control.shutdown().await });
    assert!(timeout(Duration::from_secs(1), &mut stop).await.is_err());
    slow.store(false, Ordering::Relaxed);
    timeout(PATIENCE, stop).await.unwrap().unwrap();
    unanswered.abort();
    cluster.wipe("r1");
}
