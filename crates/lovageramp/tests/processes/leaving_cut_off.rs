//! Targets that leave while an entry is cut off from control and still has its callers.

use crate::support::{
    Caller, Cluster, ClusterPlan, assert_complete, chat, get, long_stream, until,
};
use serde_json::json;

/// Requests of each caller that are watched once the target has left.
const WATCHED: u64 = 15;

async fn cluster() -> Cluster {
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

/// The target that entry-1 prefers, which is to leave: the other one would hide that the
/// entry still gives work to it.
async fn preferred(cluster: &Cluster) -> String {
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
    let mut more = Vec::new();
    for (agent, before) in agents.into_iter().zip(before) {
        more.push((cluster.ran_at(&agent, "").await - before, agent));
    }
    more.into_iter().max().unwrap().1
}

/// Two streams through each entry, which lie on both targets.
async fn streams(cluster: &Cluster) -> Vec<tokio::task::JoinHandle<Option<String>>> {
    let mut streams = Vec::new();
    for entry in ["entry-1", "entry-2", "entry-1", "entry-2"] {
        streams.push(long_stream(cluster, entry).await);
    }
    streams
}

/// A caller at each entry, and the target that is to leave has work from them.
async fn callers(cluster: &Cluster, leaving: &str) -> [Caller; 2] {
    let callers = [
        Caller::start(cluster.http("entry-1")).await,
        Caller::start(cluster.http("entry-2")).await,
    ];
    let before = cluster.ran_at(leaving, "").await;
    for caller in &callers {
        caller.until_answered(5).await;
    }
    until("the target has work", || async {
        (cluster.ran_at(leaving, "").await > before + 3).then_some(())
    })
    .await;
    callers
}

/// Cuts entry-1 off from all controls; its callers and its agents stay connected.
fn cut_entry_off(cluster: &Cluster) {
    for control in 1..=3 {
        cluster.relays[&format!("entry-1>control-{control}")].cut();
    }
}

/// Withdraws the target and waits until that is in force everywhere.
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

/// The target sees nothing new while callers go on at both entries.
async fn assert_no_new_work(cluster: &Cluster, leaving: &str, callers: &[Caller]) {
    // What was taken before may reach the target a moment later.
    for caller in callers {
        caller.until_answered(1).await;
    }
    let before = cluster.ran_at(leaving, "").await;
    for caller in callers {
        caller.until_answered(WATCHED).await;
    }
    assert_eq!(cluster.ran_at(leaving, "").await, before);
}

/// Everybody at the entry that is not cut off was served; those at the other were served
/// or told when to come back.
async fn assert_served([cut_off, other]: [Caller; 2]) {
    let statuses = cut_off.finish().await;
    let known = statuses
        .iter()
        .all(|status| [200, 503, 504].contains(status));
    assert!(known, "{statuses:?}");
    let statuses = other.finish().await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// A note withdraws a target while an entry can't hear of it. That entry must not go on
/// giving the target work for its callers, and must not cut off what runs there.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_entry_cut_off() {
    let cluster = cluster().await;
    let streams = streams(&cluster).await;
    let leaving = preferred(&cluster).await;
    let callers = callers(&cluster, &leaving).await;
    cut_entry_off(&cluster);
    withdraw(&cluster, &leaving).await;
    assert_no_new_work(&cluster, &leaving, &callers).await;
    assert_served(callers).await;
    for stream in streams {
        assert_complete(stream.await.unwrap());
    }
}

/// The same while the target's agent can't hear of the note either: entry and agent both
/// go by the former note, and agree on it.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_entry_and_agent_cut_off() {
    let cluster = cluster().await;
    let streams = streams(&cluster).await;
    let leaving = preferred(&cluster).await;
    let callers = callers(&cluster, &leaving).await;
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

/// A note withdraws a target while its agent is restarted. The agent comes back to a
/// target that isn't offered any more.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_agent_restarted() {
    let mut cluster = cluster().await;
    let leaving = preferred(&cluster).await;
    let callers = callers(&cluster, &leaving).await;
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

/// A target's host is taken away for repair, and its agent asked to end, while an entry
/// can't hear from control that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn left_entry_cut_off() {
    let mut cluster = cluster().await;
    let streams = streams(&cluster).await;
    let leaving = preferred(&cluster).await;
    let callers = callers(&cluster, &leaving).await;
    cut_entry_off(&cluster);
    cluster.signal(&leaving, "TERM").await;
    let agent = cluster.http(&leaving);
    until("the agent is leaving", || async move {
        let Ok(answer) = get(agent, "/readyz", &[]).await else {
            // It has ended already.
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
