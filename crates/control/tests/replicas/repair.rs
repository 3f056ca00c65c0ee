//! Replicas that were stopped, or lost their disk.

use crate::cluster::Cluster;

/// A host loses its disk and its replica comes back on a blank one. If it voted as
/// before, a majority could lose acknowledged entries. The new disk must join as a learner
/// and then become a voter. Once the repair is reported as complete, another host may be
/// lost immediately.
#[tokio::test(flavor = "multi_thread")]
async fn blank_disk_repaired_second_host_lost() {
    let mut cluster = Cluster::start(3).await;
    cluster.submit_up_to(3).await;
    let leader = cluster.leader().await;
    let mut others = cluster.names();
    others.retain(|name| *name != leader);
    let before = cluster.leader_status().await;

    cluster.stop_replica(&others[0]).await;
    cluster.wipe_disk(&others[0]);
    cluster.submit_up_to(5).await;
    cluster.start_replica(&others[0]).await;
    cluster.wait_repaired_on_new_disk(&others[0], &before).await;

    cluster.stop_replica(&leader).await;
    cluster.wipe_disk(&leader);
    let left = cluster.leader_status().await;
    assert_eq!(left["notes"]["accepted"], 5);
    cluster.submit_up_to(6).await;
    cluster.wait_for_note(&others[0], 6).await;
}

/// Guards against a replica on a new disk that is never added, because its settings
/// name only a replica that does not lead, until two more lost disks cost the majority.
#[tokio::test(flavor = "multi_thread")]
async fn blank_disk_seed_follows() {
    let mut cluster = Cluster::start(3).await;
    cluster.submit_up_to(3).await;
    let leader = cluster.leader().await;
    let mut others = cluster.names();
    others.retain(|name| *name != leader);
    let before = cluster.leader_status().await;
    assert_eq!(before["tolerated_losses"], 1);

    cluster.stop_replica(&others[0]).await;
    cluster.wipe_disk(&others[0]);
    cluster.submit_up_to(5).await;
    cluster.set_seeds(&others[0], &others[1..]);
    cluster.start_replica(&others[0]).await;
    cluster.wait_repaired_on_new_disk(&others[0], &before).await;
    assert_eq!(cluster.leader_status().await["tolerated_losses"], 1);
    cluster.wait_for_note(&others[0], 5).await;
}

/// A replica was stopped while 300 notes were accepted. It must catch up with all of them
/// from the log, and must not present an intermediate state as the newest.
#[tokio::test(flavor = "multi_thread")]
async fn catch_up_300_notes_by_log() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let names = cluster.names();
    let behind = names.iter().find(|name| **name != leader).unwrap();
    cluster.stop_replica(behind).await;
    cluster.submit_fast(300).await;
    cluster.start_replica(behind).await;
    cluster.wait_for_note(behind, 300).await;
    cluster.wait_repaired().await;
}

/// As above, but the missing part of the log was compacted, so a snapshot is sent first.
#[tokio::test(flavor = "multi_thread")]
async fn catch_up_300_notes_by_snapshot() {
    let mut cluster = Cluster::prepare(3).await;
    cluster.snapshot_entries = 20;
    cluster.init_and_start().await;
    cluster.submit_fast(700).await;
    let leader = cluster.leader().await;
    let names = cluster.names();
    let behind = names.iter().find(|name| **name != leader).unwrap();
    cluster.stop_replica(behind).await;
    cluster.wipe_disk(behind);
    cluster.submit_up_to(1000).await;
    cluster.start_replica(behind).await;
    cluster.wait_for_note(behind, 1000).await;
    cluster.wait_repaired().await;
    let status = cluster.control(behind).status().await.unwrap();
    assert!(status["snapshot"].as_u64() > Some(0));
}

/// All replicas are stopped and restarted. Each one resumes from its disk, and all
/// accepted notes are still there.
#[tokio::test(flavor = "multi_thread")]
async fn restart_all() {
    let mut cluster = Cluster::prepare(3).await;
    cluster.snapshot_entries = 7;
    cluster.init_and_start().await;
    cluster.submit_up_to(30).await;
    for name in cluster.names() {
        cluster.stop_replica(&name).await;
    }
    for name in cluster.names() {
        cluster.start_replica(&name).await;
    }
    cluster.wait_repaired().await;
    assert_eq!(cluster.leader_status().await["notes"]["accepted"], 30);
    cluster.submit_up_to(31).await;
}
