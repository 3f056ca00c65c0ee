//! Replicas that were down, or lost their disk.

use crate::cluster::{Cluster, wait_for};
use serde_json::json;

async fn submit_up_to(cluster: &Cluster, last: u64) {
    let accepted = cluster.leader_status().await["notes"]["accepted"].as_u64();
    for number in accepted.unwrap() + 1..=last {
        cluster.submit(&json!({"number": number}), "anna").await;
    }
}

async fn accepted_at(cluster: &Cluster, name: &str) -> Option<u64> {
    let status = cluster.control(name).status().await.ok()?;
    status["notes"]["accepted"].as_u64()
}

/// A host loses its disk and its replica comes back on a blank one. Were it
/// to vote as before, a majority could forget what was acknowledged. An
/// operator sees a new disk that first learns and then votes, and after the
/// report that the repair is complete another host may be lost at once.
#[tokio::test(flavor = "multi_thread")]
async fn blank_disk_repaired_second_host_lost() {
    let mut cluster = Cluster::start(3).await;
    submit_up_to(&cluster, 3).await;
    let leader = cluster.leader().await;
    let mut others = cluster.names();
    others.retain(|name| *name != leader);
    let before = cluster.leader_status().await;

    cluster.down(&others[0]).await;
    cluster.wipe(&others[0]);
    submit_up_to(&cluster, 5).await;
    cluster.up(&others[0]).await;
    cluster.repaired().await;
    let after = cluster.leader_status().await;
    assert_ne!(before["replicas"], after["replicas"]);

    cluster.down(&leader).await;
    cluster.wipe(&leader);
    let left = cluster.leader_status().await;
    assert_eq!(left["notes"]["accepted"], 5);
    submit_up_to(&cluster, 6).await;
    let held = wait_for("the note at the repaired replica", async || {
        let number = accepted_at(&cluster, &others[0]).await;
        number.filter(|number| *number == 6)
    });
    assert_eq!(held.await, 6);
}
