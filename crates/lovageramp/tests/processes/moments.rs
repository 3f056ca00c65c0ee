//! An entry is killed at exact moments of a reservation, which a relay forces by holding
//! bytes between two processes. Whatever the moment, the reservation runs at most once,
//! and the buyer who sends it again through another entry learns what came of it.

use crate::support::{Answer, Cluster, ClusterPlan, Relay, get, reserve, until};
use serde_json::json;

const KEY: &str = "lot-1";
/// What the buyer sends; the answer repeats it.
const BODY: &str = "burl-4711";
/// Bytes that only the answer has.
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

async fn cluster() -> Cluster {
    let cluster = Cluster::start(plan()).await;
    cluster.submit_first_note().await;
    cluster
}

/// The relays between entry-1 and all controls.
fn before_controls(cluster: &Cluster) -> Vec<String> {
    let relays = cluster.relays.keys();
    let relays = relays.filter(|name| name.starts_with("entry-1>"));
    relays.cloned().collect()
}

/// The relays between each agent and its service.
fn before_services(cluster: &Cluster) -> Vec<String> {
    let agents = cluster.agents().into_iter();
    agents.map(|agent| format!("fake-{agent}")).collect()
}

/// Sends a reservation to entry-1 and kills that entry once one of the relays holds what
/// `arm` has told it to. Nothing else is held any more. Returns the one that holds.
async fn kill_when_held(cluster: &mut Cluster, relays: &[String], arm: fn(&Relay)) -> String {
    for relay in relays {
        arm(&cluster.relays[relay]);
    }
    let entry = cluster.http("entry-1");
    let first = tokio::spawn(async move { reserve(entry, "huber", KEY, BODY).await });
    let held = cluster.until_held(relays).await;
    for relay in relays.iter().filter(|relay| **relay != held) {
        cluster.relays[relay].release();
    }
    cluster.relays[&held].hold_no_other();
    cluster.kill("entry-1").await;
    assert!(first.await.unwrap().is_err(), "entry-1 had answered before");
    held
}

/// Sends the reservation again through the other entry until it has its answer.
async fn until_answered(cluster: &Cluster) -> Answer {
    let answer = until("the reservation has its answer", || async {
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

/// What is held goes on at last. It must change nothing.
async fn assert_once_after_release(cluster: &Cluster, held: &str, answer: &Answer) {
    cluster.relays[held].release();
    let again = until_answered(cluster).await;
    assert_eq!(again.body, answer.body);
    assert_eq!(cluster.ran(KEY).await, 1);
}

/// Killed while its claim is on the way to control: nothing is recorded. The claim comes
/// after the reservation was made through the other entry.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_claim() {
    let mut cluster = cluster().await;
    let relays = before_controls(&cluster);
    let held = kill_when_held(&mut cluster, &relays, |relay| relay.hold_there(KEY)).await;
    assert_eq!(cluster.ran(KEY).await, 0);
    let answer = until_answered(&cluster).await;
    assert_once_after_release(&cluster, &held, &answer).await;
}

/// Killed after its claim is committed, while the start is on the way to the agent. The
/// key is held by an attempt that nobody starts, until the other entry bars it.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_after_claim() {
    let mut cluster = cluster().await;
    let relays = cluster.agents();
    let held = kill_when_held(&mut cluster, &relays, |relay| relay.hold_there(KEY)).await;
    assert_eq!(cluster.ran(KEY).await, 0);
    let answer = until_answered(&cluster).await;
    assert_once_after_release(&cluster, &held, &answer).await;
}

/// Killed after the agent has taken the start, before the service has read the call. The
/// other entry waits for the run that is under way.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_after_start() {
    let mut cluster = cluster().await;
    let relays = before_services(&cluster);
    let held = kill_when_held(&mut cluster, &relays, |relay| relay.hold_there(KEY)).await;
    assert_eq!(cluster.ran(KEY).await, 0);
    let entry = cluster.http("entry-2");
    let again = tokio::spawn(async move { reserve(entry, "huber", KEY, BODY).await });
    cluster.relays[&held].release();
    let again = again.await.unwrap().unwrap();
    let answer = until_answered(&cluster).await;
    if again.status == 200 {
        assert_eq!(again.body, answer.body);
    } else {
        assert_eq!(again.json()["ran"], "unknown", "{}", again.text());
    }
    assert_eq!(cluster.ran(KEY).await, 1);
}

/// Killed after the run is over, while the answer is on the way from the agent: nothing
/// of it is recorded, and the other entry fetches it from the agent.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_answer_comes() {
    let mut cluster = cluster().await;
    let relays = cluster.agents();
    let held = kill_when_held(&mut cluster, &relays, |relay| relay.hold_back(ANSWER)).await;
    assert_eq!(cluster.ran(KEY).await, 1);
    let answer = until_answered(&cluster).await;
    assert_once_after_release(&cluster, &held, &answer).await;
}

/// Killed while its record of the answer is on the way to control. The same answer is
/// recorded twice in the end, and the reservation made once.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_finish() {
    let mut cluster = cluster().await;
    let relays = before_controls(&cluster);
    let held = kill_when_held(&mut cluster, &relays, |relay| relay.hold_there(ANSWER)).await;
    assert_eq!(cluster.ran(KEY).await, 1);
    let answer = until_answered(&cluster).await;
    assert_once_after_release(&cluster, &held, &answer).await;
}

/// Killed when the answer is recorded and the word of that is on the way back from
/// control: the buyer hears nothing, and gets the recorded answer from the other entry.
#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_caller_is_answered() {
    let mut cluster = cluster().await;
    let relays = before_controls(&cluster);
    let held = kill_when_held(&mut cluster, &relays, |relay| relay.hold_back(ANSWER)).await;
    assert_eq!(cluster.ran(KEY).await, 1);
    let answer = until_answered(&cluster).await;
    assert_once_after_release(&cluster, &held, &answer).await;
}

/// How many attempts an agent remembers.
async fn remembered(cluster: &Cluster, agent: &str) -> Option<u64> {
    let metrics = get(cluster.http(agent), "/metrics", &[]).await.ok()?.text();
    let mut lines = metrics.lines();
    let line = lines.find_map(|line| line.strip_prefix("agent_attempts_remembered "));
    line?.trim().parse().ok()
}

/// An entry stands still between its claim and its start. Meanwhile the other entry has
/// the attempt barred and makes the reservation, and the agent forgets the bar, as it does
/// after its time. When the entry goes on it must not start its attempt.
#[tokio::test(flavor = "multi_thread")]
async fn entry_stopped_before_start() {
    let cluster = Cluster::start(ClusterPlan {
        agent_timing: json!({"remember_ms": 500}),
        ..plan()
    })
    .await;
    cluster.submit_first_note().await;
    let relays = before_controls(&cluster);
    for relay in &relays {
        cluster.relays[relay].hold_there(KEY);
    }
    let entry = cluster.http("entry-1");
    let first = tokio::spawn(async move { reserve(entry, "huber", KEY, BODY).await });
    cluster.until_held(&relays).await;
    cluster.signal("entry-1", "STOP").await;
    for relay in &relays {
        cluster.relays[relay].release();
    }
    let answer = until_answered(&cluster).await;
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
