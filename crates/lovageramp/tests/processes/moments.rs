//! An entry is killed at a defined step of a reservation, which a relay forces by holding
//! bytes between two processes. At each step the reservation must run at most once, and
//! the caller who retries it through another entry must get its result.

use crate::support::{Answer, Cluster, ClusterPlan, Relay, get, reserve, until};
use serde_json::json;

const KEY: &str = "lot-1";
/// Body of the request, which the answer echoes.
const BODY: &str = "burl-4711";
/// Bytes that occur only in the answer.
const ANSWER: &str = r#""body":"burl-4711""#;

fn plan() -> ClusterPlan {
    ClusterPlan {
        controls: 3,
        entries: 2,
        engines: 0,
        services: 2,
        ..ClusterPlan::default()
    }
}

async fn start_cluster() -> Cluster {
    let cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    cluster
}

/// The relays between entry-1 and all controls.
fn control_relays(cluster: &Cluster) -> Vec<String> {
    let relays = cluster.relays.keys();
    let relays = relays.filter(|name| name.starts_with("entry-1>"));
    relays.cloned().collect()
}

/// The relays between each agent and its service.
fn service_relays(cluster: &Cluster) -> Vec<String> {
    let agents = cluster.agents().into_iter();
    agents.map(|agent| format!("fake-{agent}")).collect()
}

/// Sends a reservation to entry-1 and kills that entry once one of the relays holds the
/// bytes selected by `arm`. Afterwards no relay holds other bytes. Returns the name of the
/// relay that holds them.
async fn kill_entry_when_held(cluster: &mut Cluster, relays: &[String], arm: fn(&Relay)) -> String {
    for relay in relays {
        arm(&cluster.relays[relay]);
    }
    let entry = cluster.http("entry-1");
    let first = tokio::spawn(async move { reserve(entry, "huber", KEY, BODY).await });
    let held = cluster.until_held(relays).await;
    for relay in relays.iter().filter(|relay| **relay != held) {
        cluster.relays[relay].release();
    }
    cluster.relays[&held].stop_new_holds();
    cluster.kill("entry-1").await;
    assert!(first.await.unwrap().is_err(), "entry-1 had answered before");
    held
}

/// Retries the reservation through the other entry until it is answered with 200.
async fn retry_until_answered(cluster: &Cluster) -> Answer {
    let answer = until("the reservation is answered", || async {
        let answer = reserve(cluster.http("entry-2"), "huber", KEY, BODY).await;
        let answer = answer.unwrap();
        if answer.status != 200 {
            assert_eq!(answer.json()["ran"], "unknown", "{}", answer.text());
        }
        (answer.status == 200).then_some(answer)
    })
    .await;
    assert!(answer.text().contains(ANSWER), "{}", answer.text());
    answer
}

/// Releases the held bytes, which must change nothing.
async fn assert_ran_once_after_release(cluster: &Cluster, held: &str, answer: &Answer) {
    cluster.relays[held].release();
    let again = retry_until_answered(cluster).await;
    assert_eq!(again.body, answer.body);
    assert_eq!(cluster.ran(KEY).await, 1);
}

/// Killed while its claim is in transit to control: nothing is recorded. The claim arrives
/// after the reservation was made through the other entry.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_claim() {
    let mut cluster = start_cluster().await;
    let relays = control_relays(&cluster);
    let held = kill_entry_when_held(&mut cluster, &relays, |relay| relay.hold_to_target(KEY)).await;
    assert_eq!(cluster.ran(KEY).await, 0);
    let answer = retry_until_answered(&cluster).await;
    assert_ran_once_after_release(&cluster, &held, &answer).await;
}

/// Killed after its claim is committed, while the start message is in transit to the agent.
/// The key is held by an attempt that is never started, until the other entry bars it.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_after_claim() {
    let mut cluster = start_cluster().await;
    let relays = cluster.agents();
    let held = kill_entry_when_held(&mut cluster, &relays, |relay| relay.hold_to_target(KEY)).await;
    assert_eq!(cluster.ran(KEY).await, 0);
    let answer = retry_until_answered(&cluster).await;
    assert_ran_once_after_release(&cluster, &held, &answer).await;
}

/// Killed after the agent has accepted the start, before the service has read the call. The
/// other entry waits for the run in progress.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_after_start() {
    let mut cluster = start_cluster().await;
    let relays = service_relays(&cluster);
    let held = kill_entry_when_held(&mut cluster, &relays, |relay| relay.hold_to_target(KEY)).await;
    assert_eq!(cluster.ran(KEY).await, 0);
    let entry = cluster.http("entry-2");
    let again = tokio::spawn(async move { reserve(entry, "huber", KEY, BODY).await });
    cluster.relays[&held].release();
    let again = again.await.unwrap().unwrap();
    let answer = retry_until_answered(&cluster).await;
    if again.status == 200 {
        assert_eq!(again.body, answer.body);
    } else {
        assert_eq!(again.json()["ran"], "unknown", "{}", again.text());
    }
    assert_eq!(cluster.ran(KEY).await, 1);
}

/// Killed after the run has ended, while the answer is in transit from the agent: the
/// answer is not recorded, and the other entry fetches it from the agent.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_answer_comes() {
    let mut cluster = start_cluster().await;
    let relays = cluster.agents();
    let held = kill_entry_when_held(&mut cluster, &relays, |relay| {
        relay.hold_from_target(ANSWER);
    })
    .await;
    assert_eq!(cluster.ran(KEY).await, 1);
    let answer = retry_until_answered(&cluster).await;
    assert_ran_once_after_release(&cluster, &held, &answer).await;
}

/// Killed while its record of the answer is in transit to control. In the end the same
/// answer is recorded twice, and the reservation made once.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_finish() {
    let mut cluster = start_cluster().await;
    let relays = control_relays(&cluster);
    let held =
        kill_entry_when_held(&mut cluster, &relays, |relay| relay.hold_to_target(ANSWER)).await;
    assert_eq!(cluster.ran(KEY).await, 1);
    let answer = retry_until_answered(&cluster).await;
    assert_ran_once_after_release(&cluster, &held, &answer).await;
}

/// Killed after the answer is recorded, while the confirmation is in transit from control:
/// the caller gets no answer, and gets the recorded one from the other entry.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_caller_is_answered() {
    let mut cluster = start_cluster().await;
    let relays = control_relays(&cluster);
    let held = kill_entry_when_held(&mut cluster, &relays, |relay| {
        relay.hold_from_target(ANSWER);
    })
    .await;
    assert_eq!(cluster.ran(KEY).await, 1);
    let answer = retry_until_answered(&cluster).await;
    assert_ran_once_after_release(&cluster, &held, &answer).await;
}

/// The agent's `agent_attempts_remembered` metric.
async fn remembered(cluster: &Cluster, agent: &str) -> Option<u64> {
    let metrics = get(cluster.http(agent), "/metrics", &[]).await.ok()?.text();
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| line.strip_prefix("agent_attempts_remembered "));
    line?.trim().parse().ok()
}

/// An entry is stopped between its claim and its start. Meanwhile the other entry has the
/// attempt barred and makes the reservation, and the agent forgets the bar after
/// `remember_ms`. When the entry resumes it must not start its attempt.
#[tokio::test(flavor = "multi_thread")]
async fn entry_stopped_before_start() {
    let cluster = Cluster::start(ClusterPlan {
        agent_timing: json!({"remember_ms": 500}),
        ..plan()
    })
    .await;
    cluster.submit_first_note().await;
    let relays = control_relays(&cluster);
    for relay in &relays {
        cluster.relays[relay].hold_to_target(KEY);
    }
    let entry = cluster.http("entry-1");
    let first = tokio::spawn(async move { reserve(entry, "huber", KEY, BODY).await });
    cluster.until_held(&relays).await;
    cluster.signal("entry-1", "STOP").await;
    for relay in &relays {
        cluster.relays[relay].release();
    }
    let answer = retry_until_answered(&cluster).await;
    for agent in cluster.agents() {
        until("the bar is forgotten", || async {
            let remembered = remembered(&cluster, &agent).await?;
            (remembered == 0).then_some(())
        })
        .await;
    }
    cluster.signal("entry-1", "CONT").await;
    let first = first.await.unwrap().unwrap();
    if first.status == 200 {
        assert_eq!(first.body, answer.body);
    } else {
        assert_eq!(first.json()["ran"], "unknown", "{}", first.text());
    }
    assert_eq!(cluster.ran(KEY).await, 1);
}
