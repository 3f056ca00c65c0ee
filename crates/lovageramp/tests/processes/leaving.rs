//! Leaving targets and graceful shutdown.

use crate::support::{Cluster, ClusterPlan, assert_complete, chat, get, long_stream, until};
use serde_json::json;

fn plan() -> ClusterPlan {
    ClusterPlan {
        controls: 3,
        entries: 2,
        engines: 2,
        services: 0,
        ..ClusterPlan::default()
    }
}

/// A target is withdrawn by a note while streams run on it. It gets nothing new after
/// the note is in force everywhere, and what runs there ends whole.
#[tokio::test(flavor = "multi_thread")]
async fn target_withdrawn_no_new_work() {
    let cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let mut streams = Vec::new();
    for entry in ["entry-1", "entry-2", "entry-1", "entry-2"] {
        streams.push(long_stream(&cluster, entry).await);
    }
    let note = json!({"number": 2, "withdrawn": [{"kind": "target", "name": "advisor-01"}]});
    until("the note is accepted", || async {
        let answer = cluster
            .operator("entry-1", "POST", "/v1/operator/notes", &note)
            .await;
        (answer.status < 300).then_some(())
    })
    .await;
    cluster.until_in_force("entry-1", 2).await;
    let before = cluster.ran_at("advisor-01", "").await;
    for round in 0..20 {
        let entry = cluster.http(&format!("entry-{}", round % 2 + 1));
        let answer = chat(entry, "huber", &format!("note {round}"), false)
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_eq!(cluster.ran_at("advisor-01", "").await, before);
    for stream in streams {
        assert_complete(stream.await.unwrap());
    }
}

/// An agent is asked to end, twice, while streams run. None may be cut off, and the
/// agent ends by itself afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn agent_shutdown_streams_end_whole() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let mut streams = Vec::new();
    for _ in 0..6 {
        streams.push(long_stream(&cluster, "entry-1").await);
    }
    cluster.signal("advisor-01", "TERM").await;
    cluster.signal("advisor-01", "TERM").await;
    until("new work goes on elsewhere", || async {
        let answer = chat(cluster.http("entry-1"), "huber", "hello", false)
            .await
            .ok()?;
        (answer.status == 200).then_some(())
    })
    .await;
    for stream in streams {
        assert_complete(stream.await.unwrap());
    }
    let agent = cluster.processes.get_mut("advisor-01").unwrap();
    assert!(agent.ended().await);
}

/// An entry is asked to end, twice, while streams run and callers still hold its
/// address. It leaves the address list, still serves who comes, cuts nothing off, and
/// ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn entry_shutdown_streams_end_whole() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let leaving = cluster.http("entry-1").to_string();
    let stream = long_stream(&cluster, "entry-1").await;
    cluster.signal("entry-1", "TERM").await;
    cluster.signal("entry-1", "TERM").await;
    until("it leaves the address list", || async {
        let list = get(cluster.http("entry-2"), "/v1/addresses", &[])
            .await
            .ok()?;
        (!list.text().contains(&leaving)).then_some(())
    })
    .await;
    let late = chat(cluster.http("entry-1"), "huber", "with an old list", false)
        .await
        .unwrap();
    assert_eq!(late.status, 200, "{}", late.text());
    assert_complete(stream.await.unwrap());
    let entry = cluster.processes.get_mut("entry-1").unwrap();
    assert!(entry.ended().await);
}

/// The leading control is asked to end while streams run and new requests come. No
/// request may be lost to it.
#[tokio::test(flavor = "multi_thread")]
async fn control_shutdown_streams_end_whole() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let stream = long_stream(&cluster, "entry-1").await;
    let leader = cluster.leader().await;
    cluster.signal(&leader, "TERM").await;
    cluster.signal(&leader, "TERM").await;
    let control = cluster.processes.get_mut(&leader).unwrap();
    assert!(control.ended().await);
    for _ in 0..10 {
        let answer = chat(cluster.http("entry-2"), "huber", "hello", false)
            .await
            .unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert_complete(stream.await.unwrap());
}
