//! Non-repeatable calls run at most once, and a resent call gets the outcome of the
//! first run.

use crate::support::{Cluster, ClusterPlan, reserve, until};
use std::time::Duration;

fn plan(entries: usize) -> ClusterPlan {
    ClusterPlan {
        controls: 3,
        entries,
        engines: 0,
        services: 2,
        ..ClusterPlan::default()
    }
}

/// The agent whose target runs the call with this key.
async fn runs_at(cluster: &Cluster, key: &str) -> String {
    cluster.until_runs(key).await;
    for agent in cluster.agents() {
        if cluster.ran_at(&agent, key).await > 0 {
            return agent;
        }
    }
    unreachable!("no agent reports that the call ran");
}

/// Sets a fault at the targets of all agents.
async fn set_fault(cluster: &Cluster, fault: &str) {
    for agent in cluster.agents() {
        cluster.fault(&agent, fault, "").await;
    }
}

/// A caller sends one reservation to all entries concurrently. It must run once, and
/// all copies get the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_same_key_at_all_entries() {
    let cluster = Cluster::start(plan(4)).await;
    cluster.submit_first_note().await;
    for round in 0..10 {
        let key = format!("lot-{round}");
        let sent = (1..=4).map(|n| cluster.http(&format!("entry-{n}")));
        let sent = sent.map(|entry| {
            let key = key.clone();
            tokio::spawn(async move { reserve(entry, "huber", &key, "burl").await.unwrap() })
        });
        let mut bodies = Vec::new();
        for answer in sent.collect::<Vec<_>>() {
            let answer = answer.await.unwrap();
            assert_eq!(answer.status, 200, "{}", answer.text());
            bodies.push(answer.body);
        }
        bodies.dedup();
        assert_eq!(bodies.len(), 1);
        assert_eq!(cluster.ran(&key).await, 1);
    }
}

/// An entry is killed while a reservation runs. The caller resends it through another
/// entry and must get the answer of the first run.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_entry_killed_while_running() {
    let mut cluster = Cluster::start(plan(2)).await;
    cluster.submit_first_note().await;
    set_fault(&cluster, "stall").await;
    let entry = cluster.http("entry-1");
    let lost = tokio::spawn(async move { reserve(entry, "huber", "lot-1", "burl").await });
    cluster.until_runs("lot-1").await;
    cluster.kill("entry-1").await;
    assert!(lost.await.unwrap().is_err());
    let entry = cluster.http("entry-2");
    let again = tokio::spawn(async move { reserve(entry, "huber", "lot-1", "burl").await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    set_fault(&cluster, "clear").await;
    let again = again.await.unwrap().unwrap();
    assert_eq!(again.status, 200, "{}", again.text());
    assert_eq!(cluster.ran("lot-1").await, 1);
}

/// An entry is killed at different stages of a reservation: before or after the claim,
/// after the start, after the end, before the answer. At every stage the reservation
/// runs at most once, and resending it returns the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_entry_killed_at_any_moment() {
    let mut cluster = Cluster::start(plan(2)).await;
    cluster.submit_first_note().await;
    for round in 0..12_u64 {
        let key = format!("lot-{round}");
        let entry = cluster.http("entry-1");
        let first = {
            let key = key.clone();
            tokio::spawn(async move { reserve(entry, "huber", &key, "burl").await })
        };
        tokio::time::sleep(Duration::from_millis(round)).await;
        cluster.kill("entry-1").await;
        let first = first.await.unwrap();
        let entry = cluster.http("entry-2");
        let again = until("the reservation has its answer", || async {
            let answer = reserve(entry, "huber", &key, "burl").await.ok()?;
            (answer.status == 200).then_some(answer)
        })
        .await;
        assert_eq!(cluster.ran(&key).await, 1, "{key}");
        if let Ok(first) = first
            && first.status == 200
            && !first.broken
        {
            assert_eq!(first.body, again.body);
        }
        cluster.start_entry(1).await;
        cluster.until_ready("entry-1").await;
    }
}

/// The agent is killed while a reservation runs at its service, so the outcome cannot be
/// determined. The caller must get `unknown` as the final answer, and the reservation
/// must never run again.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_agent_killed_while_running() {
    let mut cluster = Cluster::start(plan(2)).await;
    cluster.submit_first_note().await;
    set_fault(&cluster, "stall").await;
    let entry = cluster.http("entry-1");
    let first = tokio::spawn(async move { reserve(entry, "huber", "lot-1", "burl").await });
    let agent = runs_at(&cluster, "lot-1").await;
    cluster.kill(&agent).await;
    cluster.start_agent(&agent).await;
    set_fault(&cluster, "clear").await;
    let first = first.await.unwrap().unwrap();
    assert_eq!(first.json()["ran"], "unknown", "{}", first.text());
    for entry in ["entry-1", "entry-2", "entry-1"] {
        let entry = cluster.http(entry);
        until("the outcome is reported as final", || async {
            let again = reserve(entry, "huber", "lot-1", "burl").await.ok()?;
            assert_eq!(again.json()["ran"], "unknown", "{}", again.text());
            (again.header("retry-after").is_empty()).then_some(())
        })
        .await;
    }
    assert_eq!(cluster.ran("lot-1").await, 1);
}

/// The service completes the reservation and its answer is lost. Running it again would
/// reserve the lot twice.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_answer_lost() {
    let cluster = Cluster::start(plan(2)).await;
    cluster.submit_first_note().await;
    set_fault(&cluster, "lose-answer").await;
    let first = reserve(cluster.http("entry-1"), "huber", "lot-1", "burl")
        .await
        .unwrap();
    assert_eq!(first.json()["ran"], "unknown", "{}", first.text());
    set_fault(&cluster, "clear").await;
    for entry in ["entry-1", "entry-2"] {
        let again = reserve(cluster.http(entry), "huber", "lot-1", "burl")
            .await
            .unwrap();
        assert_eq!(again.json()["ran"], "unknown", "{}", again.text());
    }
    assert_eq!(cluster.ran("lot-1").await, 1);
}

/// The leading control is killed while a reservation runs. The caller still gets the
/// answer, and resending the reservation does not run it again.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_leader_killed_while_running() {
    let mut cluster = Cluster::start(plan(2)).await;
    cluster.submit_first_note().await;
    set_fault(&cluster, "stall").await;
    let entry = cluster.http("entry-1");
    let first = tokio::spawn(async move { reserve(entry, "huber", "lot-1", "burl").await });
    cluster.until_runs("lot-1").await;
    let leader = cluster.leader().await;
    cluster.kill(&leader).await;
    set_fault(&cluster, "clear").await;
    let first = first.await.unwrap().unwrap();
    let again = until("the resent reservation has its answer", || async {
        let answer = reserve(cluster.http("entry-2"), "huber", "lot-1", "burl")
            .await
            .ok()?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    if first.status == 200 {
        assert_eq!(first.body, again.body);
    } else {
        assert_eq!(first.json()["ran"], "unknown", "{}", first.text());
    }
    assert_eq!(cluster.ran("lot-1").await, 1);
}

/// The connection between entry and agent stops delivering data in one or both directions
/// while a reservation runs; new connections work. The caller must get the answer of the
/// single run.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_silent_connection() {
    for direction in 0..3 {
        let cluster = Cluster::start(plan(1)).await;
        cluster.submit_first_note().await;
        set_fault(&cluster, "stall").await;
        let entry = cluster.http("entry-1");
        let first = tokio::spawn(async move { reserve(entry, "huber", "lot-1", "burl").await });
        let agent = runs_at(&cluster, "lot-1").await;
        let relay = &cluster.relays[&agent];
        if direction != 0 {
            relay.discard_to_target();
        }
        if direction != 1 {
            relay.discard_from_target();
        }
        set_fault(&cluster, "clear").await;
        let first = first.await.unwrap().unwrap();
        assert_eq!(first.status, 200, "{}", first.text());
        assert_eq!(cluster.ran("lot-1").await, 1);
    }
}
