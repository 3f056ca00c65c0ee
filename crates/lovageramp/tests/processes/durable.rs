//! Acknowledged entries survive killed processes and lost disks.

use crate::support::{Cluster, ClusterPlan, account_item, reserve, until};
use serde_json::json;

fn plan() -> ClusterPlan {
    ClusterPlan {
        controls: 3,
        entries: 1,
        engines: 0,
        services: 1,
        ..ClusterPlan::default()
    }
}

async fn send_note(cluster: &Cluster, number: u64) {
    let note = json!({"number": number, "added": [account_item(&format!("account-{number}"))]});
    until("the note is accepted", || async {
        let answer = cluster
            .operator("entry-1", "POST", "/v1/operator/notes", &note)
            .await;
        (answer.status < 300).then_some(())
    })
    .await;
}

/// All three controls are killed and restarted. Everything that was acknowledged must be
/// retained.
#[tokio::test(flavor = "multi_thread")]
async fn state_survives_all_killed() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    send_note(&cluster, 2).await;
    let first = reserve(cluster.http("entry-1"), "huber", "lot-1", "burl")
        .await
        .unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    for number in 1..=3 {
        cluster.kill(&format!("control-{number}")).await;
    }
    for number in 1..=3 {
        cluster.start_control(number).await;
    }
    let again = until("the reservation's answer", || async {
        let answer = reserve(cluster.http("entry-1"), "huber", "lot-1", "burl")
            .await
            .ok()?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert_eq!(again.body, first.body);
    assert_eq!(cluster.ran("lot-1").await, 1);
    send_note(&cluster, 3).await;
}

/// A control loses its disk and restarts with a blank one; as soon as its repair is
/// reported complete, the next control loses its disk. Each time the remaining majority
/// must still hold every acknowledged entry.
#[tokio::test(flavor = "multi_thread")]
async fn state_survives_second_lost_after_repair() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    cluster.until_repaired().await;
    let first = reserve(cluster.http("entry-1"), "huber", "lot-1", "burl")
        .await
        .unwrap();
    assert_eq!(first.status, 200, "{}", first.text());
    for (round, number) in [1_usize, 2, 3].into_iter().enumerate() {
        send_note(&cluster, 2 + round as u64).await;
        cluster.lose_disk(number).await;
        cluster.start_control(number).await;
        cluster.until_repaired().await;
    }
    let again = until("the reservation's answer", || async {
        let answer = reserve(cluster.http("entry-1"), "huber", "lot-1", "burl")
            .await
            .ok()?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert_eq!(again.body, first.body);
    assert_eq!(cluster.ran("lot-1").await, 1);
    send_note(&cluster, 5).await;
}
