//! Withdrawal of targets and graceful shutdown.

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

/// A release note withdraws a target while streams run on it. The target gets no new
/// requests once the note is in force everywhere, and its running streams complete.
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

/// An agent gets SIGTERM twice while streams run. No stream may be truncated, and the
/// agent exits by itself once they have completed.
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
    until("new requests are served by the other target", || async {
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

/// An entry gets SIGTERM twice while streams run and callers still know its address. It
/// is removed from the address list, still serves requests that arrive, truncates no
/// stream, and exits by itself.
#[tokio::test(flavor = "multi_thread")]
async fn entry_shutdown_streams_end_whole() {
    let mut cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    let leaving = cluster.http("entry-1").to_string();
    let stream = long_stream(&cluster, "entry-1").await;
    cluster.signal("entry-1", "TERM").await;
    cluster.signal("entry-1", "TERM").await;
    until("the entry is removed from the address list", || async {
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

/// The control that leads gets SIGTERM twice while streams run and new requests arrive.
/// No request may fail because of it.
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
