//! Ledger records of non-repeatable calls: how long they are kept, and what removes them.

use crate::support::{Answer, Cluster, ClusterPlan, reserve, until};
use serde_json::{Value, json};

const RUNNING_MS: u64 = 1500;
/// Long enough for a resend within it on a slow host.
const KEEP_MS: u64 = 8000;
/// Longer than the lifetime of any record that expires by time alone.
const EXPIRED_MS: u64 = RUNNING_MS + KEEP_MS + 1000;

/// A deployment whose ledger records expire soon.
async fn start_cluster() -> Cluster {
    let cluster = Cluster::start(ClusterPlan {
        controls: 3,
        entries: 2,
        engines: 0,
        services: 2,
        ledger: json!({"running_ms": RUNNING_MS, "keep_ms": KEEP_MS}),
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    cluster
}

async fn resend(cluster: &Cluster, key: &str) -> Option<Answer> {
    reserve(cluster.http("entry-2"), "huber", key, "burl")
        .await
        .ok()
}

/// Resends a call until `time_ms` has passed on the ledger's clock.
async fn resend_for(cluster: &Cluster, key: &str, time_ms: u64) {
    let end_ms = until("the ledger's clock", || cluster.ledger_time_ms()).await + time_ms;
    until("the time has passed", || async {
        resend(cluster, key).await;
        (cluster.ledger_time_ms().await? >= end_ms).then_some(())
    })
    .await;
}

async fn until_answered(cluster: &Cluster, key: &str) -> Answer {
    until("the call has its answer", || async {
        let answer = resend(cluster, key).await?;
        (answer.status == 200).then_some(answer)
    })
    .await
}

/// What the operators' client prints as JSON.
async fn client(cluster: &Cluster, args: &[&str]) -> Value {
    let output = cluster.client("entry-1", args).await;
    serde_json::from_slice(&output.stdout).unwrap()
}

/// An agent is paused after it accepted a reservation and before the service has read a
/// byte of it. The caller resends for longer than any record is kept. When the agent
/// resumes, so does the reservation: had the record expired meanwhile, it would run twice.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_agent_stopped_before_write() {
    let cluster = start_cluster().await;
    let relays: Vec<String> = cluster
        .agents()
        .iter()
        .map(|agent| format!("fake-{agent}"))
        .collect();
    for relay in &relays {
        cluster.relays[relay].hold_to_target("lot-1");
    }
    let entry = cluster.http("entry-1");
    let first = tokio::spawn(async move { reserve(entry, "huber", "lot-1", "burl").await });
    let held = cluster.until_held(&relays).await;
    let agent = held.strip_prefix("fake-").unwrap();
    cluster.signal(agent, "STOP").await;
    for relay in relays.iter().filter(|relay| **relay != held) {
        cluster.relays[relay].release();
    }
    resend_for(&cluster, "lot-1", EXPIRED_MS).await;
    cluster.signal(agent, "CONT").await;
    cluster.relays[&held].release();
    until("the service reads it", || async {
        (cluster.ran_at(agent, "lot-1").await > 0).then_some(())
    })
    .await;
    assert_eq!(cluster.ran("lot-1").await, 1);
    let again = until_answered(&cluster, "lot-1").await;
    assert_eq!(cluster.ran("lot-1").await, 1);
    let first = first.await.unwrap().unwrap();
    if first.status == 200 {
        assert_eq!(first.body, again.body);
    } else {
        assert_eq!(first.json()["ran"], "unknown", "{}", first.text());
    }
}

/// An agent is killed while its service runs a reservation, so the outcome cannot be
/// determined and the record never expires. An operator who has checked the service's own
/// records can remove it; removing it a second time fails.
#[tokio::test(flavor = "multi_thread")]
async fn forget_after_agent_killed() {
    let mut cluster = start_cluster().await;
    for agent in cluster.agents() {
        cluster.fault(&agent, "stall", "").await;
    }
    let entry = cluster.http("entry-1");
    let first = tokio::spawn(async move { reserve(entry, "huber", "lot-1", "burl").await });
    cluster.until_runs("lot-1").await;
    for agent in cluster.agents() {
        cluster.kill(&agent).await;
        cluster.start_agent(&agent).await;
        cluster.fault(&agent, "clear", "").await;
    }
    let first = first.await.unwrap().unwrap();
    assert_eq!(first.json()["ran"], "unknown", "{}", first.text());
    resend_for(&cluster, "lot-1", EXPIRED_MS).await;
    assert_eq!(cluster.ran("lot-1").await, 1);

    let list = client(&cluster, &["ledger", "list", "--json"]).await;
    assert_eq!(list["unproved"], 1, "{list}");
    let call = &list["calls"][0];
    assert_eq!(call["account"], "huber");
    assert_eq!(call["key"], "lot-1");
    let attempt = call["attempt"].as_str().unwrap();
    let table = cluster.client("entry-2", &["ledger", "list"]).await;
    let table = String::from_utf8(table.stdout).unwrap();
    assert!(
        table.contains(attempt) && table.contains("lot-1"),
        "{table}"
    );

    let forget = ["ledger", "forget", "--json", attempt];
    let forgotten = client(&cluster, &forget).await;
    assert_eq!(forgotten["key"], "lot-1", "{forgotten}");
    until_answered(&cluster, "lot-1").await;
    assert_eq!(cluster.ran("lot-1").await, 2);
    let twice = cluster.client("entry-1", &forget).await;
    assert_eq!(twice.status.code(), Some(1));
}

/// A caller resends a reservation after it was answered. While the record is kept it gets
/// the same answer; after the retention time it counts as a new call.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_sent_again_late() {
    let cluster = start_cluster().await;
    let first = until_answered(&cluster, "lot-1").await;
    let answered_ms = until("the ledger's clock", || cluster.ledger_time_ms()).await;
    let again = resend(&cluster, "lot-1").await.unwrap();
    let now_ms = cluster.ledger_time_ms().await.unwrap();
    if now_ms < answered_ms + KEEP_MS / 2 {
        assert_eq!(again.body, first.body);
        assert_eq!(cluster.ran("lot-1").await, 1);
    }
    resend_for(&cluster, "lot-1", EXPIRED_MS).await;
    assert_eq!(cluster.ran("lot-1").await, 2);
}
