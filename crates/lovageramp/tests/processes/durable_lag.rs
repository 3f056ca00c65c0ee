//! Controls that lag: killed while they catch up, frozen for long, with operators who
//! talk to them.

use crate::support::notes::Operators;
use crate::support::{Cluster, ClusterPlan, account_item, chat, until};
use serde_json::{Value, json};

const NOTES: u64 = 300;
/// What comes before the link is cut: more than one message, far from all.
const PART_BYTES: u64 = 600_000;

/// A note of some 10 kB, so that catching up takes several messages.
fn long_note(number: u64) -> Value {
    let versions: Vec<String> = (0..200).map(|n| format!("{number:010}-{n:030}")).collect();
    let model = json!({"kind": "model", "name": format!("model-{number}"), "versions": versions});
    json!({"number": number, "added": [model]})
}

fn number_of(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

async fn send(cluster: &Cluster, host: &str, note: &Value) {
    until("accepted", || async {
        let path = "/v1/operator/notes";
        let answer = cluster.operator(host, "POST", path, note).await;
        (answer.status == 200).then_some(())
    })
    .await;
}

/// Newest note that a control has itself.
async fn note_at(cluster: &Cluster, control: &str) -> Option<u64> {
    let status = cluster.status(control).await?;
    status["notes"]["accepted"].as_u64()
}

/// A control was down for 300 notes and is killed while it catches up, again and again,
/// each time with a part of what it lacks. In the end it must hold all of them: with the
/// former leader gone it is half of the majority.
async fn killed_while_catching_up(snapshot_entries: u64) {
    let mut cluster = Cluster::start(ClusterPlan {
        controls: 3,
        entries: 0,
        engines: 0,
        services: 0,
        snapshot_entries,
        ..ClusterPlan::default()
    })
    .await;
    let leader = cluster.leader().await;
    let mut controls = (1..=3).map(|n| format!("control-{n}"));
    let behind = controls.find(|name| *name != leader).unwrap();
    cluster.kill(&behind).await;
    for number in 1..=NOTES {
        send(&cluster, &leader, &long_note(number)).await;
    }
    if snapshot_entries < NOTES {
        // What was appended lately is kept in memory and sent as entries. After a start
        // only the snapshot holds it.
        for number in (1..=3).filter(|n| *n != number_of(&behind)) {
            cluster.kill(&format!("control-{number}")).await;
            cluster.start_control(number).await;
        }
        cluster.leader().await;
    }
    let mut had = 0;
    for _ in 0..4 {
        for (name, relay) in &cluster.relays {
            if name.ends_with(&format!(">{behind}")) {
                relay.cut_after(PART_BYTES);
            }
        }
        cluster.start_control(number_of(&behind)).await;
        // By log it gets on; a snapshot counts only as a whole.
        let enough = if snapshot_entries < NOTES { 0 } else { had + 1 };
        had = until("a part has come", || async {
            let cut = cluster
                .relays
                .iter()
                .any(|(name, relay)| name.ends_with(&format!(">{behind}")) && relay.is_used_up());
            let note = note_at(&cluster, &behind).await?;
            (cut && note >= enough).then_some(note)
        })
        .await;
        assert!(had < NOTES, "it has all of it already");
        cluster.kill(&behind).await;
    }
    for relay in cluster.relays.values() {
        relay.heal();
    }
    cluster.start_control(number_of(&behind)).await;
    until("it has caught up", || async {
        (note_at(&cluster, &behind).await? == NOTES).then_some(())
    })
    .await;
    cluster.until_repaired().await;
    cluster.kill(&leader).await;
    send(&cluster, &behind, &long_note(NOTES + 1)).await;
    for number in 1..=NOTES + 1 {
        let path = format!("/v1/operator/notes/{number}");
        let note = cluster.operator(&behind, "GET", &path, &Value::Null).await;
        assert_eq!(note.status, 200, "{number}: {}", note.text());
        let name = &note.json()["added"][0]["name"];
        assert_eq!(*name, format!("model-{number}"));
    }
}

/// As told above, where entries of the log are sent.
#[tokio::test(flavor = "multi_thread")]
async fn killed_while_catching_up_by_log() {
    killed_while_catching_up(10_000).await;
}

/// As told above, where a snapshot is sent first.
#[tokio::test(flavor = "multi_thread")]
async fn killed_while_catching_up_by_snapshot() {
    killed_while_catching_up(50).await;
}

/// The leader's host stands still for long and goes on as if nothing had been, with
/// operators' requests waiting at it and an entry that reaches no other control. In the
/// meantime another leads and an account was withdrawn: nobody may be served by the old
/// note or read an old state, and a note that the old leader still takes must stand like
/// any other.
#[tokio::test(flavor = "multi_thread")]
async fn old_leader_frozen_for_long() {
    let cluster = Cluster::start(ClusterPlan {
        controls: 3,
        entries: 2,
        engines: 1,
        services: 0,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    let operators = Operators::start(&cluster, 4, 1);
    for round in 0..3 {
        cluster.until_repaired().await;
        let leader = cluster.leader().await;
        let account = format!("former-{round}");
        let note = json!({"added": [account_item(&account)]});
        let number = operators.send_next(&cluster, "entry-1", note).await;
        cluster.until_in_force("entry-1", number).await;
        for (name, relay) in &cluster.relays {
            if name.starts_with("entry-2>") && !name.ends_with(&leader) {
                relay.cut();
            }
        }
        cluster.signal(&leader, "STOP").await;
        let withdraw = json!({"withdrawn": [{"kind": "account", "name": account}]});
        let number = operators.send_next(&cluster, "entry-1", withdraw).await;
        cluster.until_in_force("entry-1", number).await;
        operators.until_operations(20).await;
        cluster.signal(&leader, "CONT").await;
        for _ in 0..20 {
            let late = chat(cluster.http("entry-2"), &account, "hello", false).await;
            assert_ne!(late.unwrap().status, 200);
            operators.read_newest(&cluster, &leader).await;
        }
        for relay in cluster.relays.values() {
            relay.heal();
        }
        until("entry-2 serves by the new note", || async {
            let answer = chat(cluster.http("entry-2"), "huber", "hello", false).await;
            (answer.ok()?.status == 200).then_some(())
        })
        .await;
    }
    assert!(operators.end(&cluster).await > 6);
}
