//! Lagging controls: killed while they catch up, or paused for long while operators send
//! them requests.

use crate::support::notes::Operators;
use crate::support::{Cluster, ClusterPlan, account_item, chat, until};
use serde_json::{Value, json};

const NOTES: u64 = 300;
/// Bytes delivered before the link is cut: more than one message, far less than all notes.
const PARTIAL_BYTES: u64 = 600_000;

/// A note of about 10 kB, so that catching up takes several messages.
fn long_note(number: u64) -> Value {
    let versions: Vec<String> = (0..200).map(|n| format!("{number:010}-{n:030}")).collect();
    let model = json!({"kind": "model", "name": format!("model-{number}"), "versions": versions});
    json!({"number": number, "added": [model]})
}

fn control_number(name: &str) -> usize {
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

/// Number of the newest note that this control has accepted.
async fn newest_note(cluster: &Cluster, control: &str) -> Option<u64> {
    let status = cluster.status(control).await?;
    status["notes"]["accepted"].as_u64()
}

/// A control that missed 300 notes is killed repeatedly while it catches up, each time
/// after a part of them was delivered. In the end it must hold all of them, because with
/// the former leader killed it is one of the two controls that form the majority.
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
        // Recently appended entries are kept in memory and sent as entries. After a restart
        // only the snapshot holds them.
        for number in (1..=3).filter(|n| *n != control_number(&behind)) {
            cluster.kill(&format!("control-{number}")).await;
            cluster.start_control(number).await;
        }
        cluster.leader().await;
    }
    let mut received = 0;
    for _ in 0..4 {
        for (name, relay) in &cluster.relays {
            if name.ends_with(&format!(">{behind}")) {
                relay.cut_after_bytes(PARTIAL_BYTES);
            }
        }
        cluster.start_control(control_number(&behind)).await;
        // With log entries each round makes progress; a snapshot is applied only when complete.
        let min_note = if snapshot_entries < NOTES {
            0
        } else {
            received + 1
        };
        received = until("a part was delivered", || async {
            let cut = cluster.relays.iter().any(|(name, relay)| {
                name.ends_with(&format!(">{behind}")) && relay.is_byte_limit_reached()
            });
            let note = newest_note(&cluster, &behind).await?;
            (cut && note >= min_note).then_some(note)
        })
        .await;
        assert!(received < NOTES, "the control has already caught up");
        cluster.kill(&behind).await;
    }
    for relay in cluster.relays.values() {
        relay.heal();
    }
    cluster.start_control(control_number(&behind)).await;
    until("it has caught up", || async {
        (newest_note(&cluster, &behind).await? == NOTES).then_some(())
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

/// `killed_while_catching_up` with log entries sent.
#[tokio::test(flavor = "multi_thread")]
async fn killed_while_catching_up_by_log() {
    killed_while_catching_up(10_000).await;
}

/// `killed_while_catching_up` with a snapshot sent first.
#[tokio::test(flavor = "multi_thread")]
async fn killed_while_catching_up_by_snapshot() {
    killed_while_catching_up(50).await;
}

/// The leader's process is paused for long and resumed, with operators' requests queued at
/// it and an entry that reaches no other control. Meanwhile another control leads and an
/// account was withdrawn: no caller may be served by the old note, no operator may read
/// stale state, and a note that the old leader still accepts must be as durable as any
/// other.
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
