//! Withdrawal and shutdown of targets while an entry is partitioned from all controls but
//! still reachable by its callers.

use crate::support::{
    Caller, Cluster, ClusterPlan, assert_complete, chat, get, long_stream, until,
};
use serde_json::json;

/// Requests that each caller completes while no new work may reach the leaving target.
const REQUESTS_PER_CALLER: u64 = 15;

async fn start_cluster() -> Cluster {
    let cluster = Cluster::start(ClusterPlan {
        controls: 3,
        entries: 2,
        engines: 2,
        services: 0,
        step_ms: 4,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    cluster
}

/// The target that entry-1 sends most requests to. This one has to leave: with a target
/// that the entry rarely selects, work sent to it by mistake would go unnoticed.
async fn preferred_target(cluster: &Cluster) -> String {
    let agents = cluster.agents();
    let mut before = Vec::new();
    for agent in &agents {
        before.push(cluster.ran_at(agent, "").await);
    }
    for round in 0..10 {
        let prompt = format!("note {round}");
        let answer = chat(cluster.http("entry-1"), "huber", &prompt, false).await;
        assert_eq!(answer.unwrap().status, 200);
    }
    let mut added = Vec::new();
    for (agent, before) in agents.into_iter().zip(before) {
        added.push((cluster.ran_at(&agent, "").await - before, agent));
    }
    added.into_iter().max().unwrap().1
}

/// Opens two streams through each entry, which run on both targets.
async fn open_streams(cluster: &Cluster) -> Vec<tokio::task::JoinHandle<Option<String>>> {
    let mut streams = Vec::new();
    for entry in ["entry-1", "entry-2", "entry-1", "entry-2"] {
        streams.push(long_stream(cluster, entry).await);
    }
    streams
}

/// Starts a caller at each entry and waits until the leaving target gets requests of them.
async fn start_callers(cluster: &Cluster, leaving: &str) -> [Caller; 2] {
    let callers = [
        Caller::start(cluster.http("entry-1")).await,
        Caller::start(cluster.http("entry-2")).await,
    ];
    let before = cluster.ran_at(leaving, "").await;
    for caller in &callers {
        caller.until_answered(5).await;
    }
    until("the target gets requests", || async {
        (cluster.ran_at(leaving, "").await > before + 3).then_some(())
    })
    .await;
    callers
}

/// Partitions entry-1 from all controls; its callers and agents stay connected.
fn cut_entry_off(cluster: &Cluster) {
    for control in 1..=3 {
        cluster.relays[&format!("entry-1>control-{control}")].cut();
    }
}

/// Withdraws the target and waits until the note is in force everywhere.
async fn withdraw(cluster: &Cluster, leaving: &str) {
    send_withdrawal(cluster, leaving).await;
    cluster.until_in_force("entry-2", 2).await;
}

async fn send_withdrawal(cluster: &Cluster, leaving: &str) {
    let note = json!({"number": 2, "withdrawn": [{"kind": "target", "name": leaving}]});
    until("the note is accepted", || async {
        let sent = cluster.operator("entry-2", "POST", "/v1/operator/notes", &note);
        (sent.await.status < 300).then_some(())
    })
    .await;
}

/// Asserts that the target gets no new request while callers continue at both entries.
async fn assert_no_new_work(cluster: &Cluster, leaving: &str, callers: &[Caller]) {
    // A request accepted earlier may still be on its way to the target.
    for caller in callers {
        caller.until_answered(1).await;
    }
    let before = cluster.ran_at(leaving, "").await;
    for caller in callers {
        caller.until_answered(REQUESTS_PER_CALLER).await;
    }
    assert_eq!(cluster.ran_at(leaving, "").await, before);
}

/// Asserts that all requests at the connected entry succeeded, and that those at the
/// partitioned entry succeeded or were answered with 503 or 504.
async fn assert_served([cut_off, other]: [Caller; 2]) {
    let statuses = cut_off.finish().await;
    let expected = statuses
        .iter()
        .all(|status| [200, 503, 504].contains(status));
    assert!(expected, "{statuses:?}");
    let statuses = other.finish().await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// A note withdraws a target while an entry is partitioned from the controls. That entry
/// must stop sending the target new requests, and must not truncate its running streams.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_entry_cut_off() {
    let cluster = start_cluster().await;
    let streams = open_streams(&cluster).await;
    let leaving = preferred_target(&cluster).await;
    let callers = start_callers(&cluster, &leaving).await;
    cut_entry_off(&cluster);
    withdraw(&cluster, &leaving).await;
    assert_no_new_work(&cluster, &leaving, &callers).await;
    assert_served(callers).await;
    for stream in streams {
        assert_complete(stream.await.unwrap());
    }
}

/// The same while the target's agent is partitioned as well: entry and agent both use the
/// previous note, so neither sees a mismatch.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_entry_and_agent_cut_off() {
    let cluster = start_cluster().await;
    let streams = open_streams(&cluster).await;
    let leaving = preferred_target(&cluster).await;
    let callers = start_callers(&cluster, &leaving).await;
    cut_entry_off(&cluster);
    for control in 1..=3 {
        cluster.relays[&format!("{leaving}>control-{control}")].cut();
    }
    withdraw(&cluster, &leaving).await;
    assert_no_new_work(&cluster, &leaving, &callers).await;
    assert_served(callers).await;
    for stream in streams {
        assert_complete(stream.await.unwrap());
    }
}

/// A note withdraws a target while its agent is being restarted. The agent starts for a
/// target that is no longer offered.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_agent_restarted() {
    let mut cluster = start_cluster().await;
    let leaving = preferred_target(&cluster).await;
    let callers = start_callers(&cluster, &leaving).await;
    cut_entry_off(&cluster);
    cluster.kill(&leaving).await;
    send_withdrawal(&cluster, &leaving).await;
    cluster.start_agent(&leaving).await;
    cluster.until_ready(&leaving).await;
    cluster.until_in_force("entry-2", 2).await;
    assert_no_new_work(&cluster, &leaving, &callers).await;
    for caller in callers {
        caller.finish().await;
    }
}

/// An agent gets SIGTERM, as when its host is taken out of service for repair, while a
/// partitioned entry can't learn from control that the target is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn left_entry_cut_off() {
    let mut cluster = start_cluster().await;
    let streams = open_streams(&cluster).await;
    let leaving = preferred_target(&cluster).await;
    let callers = start_callers(&cluster, &leaving).await;
    cut_entry_off(&cluster);
    cluster.signal(&leaving, "TERM").await;
    let agent = cluster.http(&leaving);
    until("the agent is leaving", || async move {
        let Ok(answer) = get(agent, "/readyz", &[]).await else {
            // The agent has exited already.
            return Some(());
        };
        (answer.status == 503).then_some(())
    })
    .await;
    assert_no_new_work(&cluster, &leaving, &callers).await;
    assert_served(callers).await;
    for stream in streams {
        assert_complete(stream.await.unwrap());
    }
    let agent = cluster.processes.get_mut(&leaving).unwrap();
    assert!(agent.ended().await);
}
