//! Leaders that are lost or isolated, and delayed messages of old leaders.

use crate::cluster::{Cluster, note_command, propose_to, wait_for};
use member::TableDigest;
use serde_json::json;
use std::time::Duration;
use tokio::time::timeout;
use wire::proto::frame::Body;
use wire::proto::quorum_message::Body as QuorumBody;
use wire::proto::{
    Append, Drain, Entrance, Evacuate, Evacuations, InstallSnapshot, LogEntry, Query, QueryReply,
    QuorumMessage, Report, RouteTable, RouteTableQuery, StatusQuery, VoteReply, command, outcome,
    query, query_reply,
};
use wire::{Identity, Role};

/// The leader is isolated from the other replicas but not from an operator, and believes
/// that it still leads. It cannot commit, and its reads would be stale, so it must refuse
/// both. After the partition heals it holds the notes that the others accepted, and its
/// own note is gone.
#[tokio::test(flavor = "multi_thread")]
async fn propose_at_isolated_leader() {
    let cluster = Cluster::start(3).await;
    cluster.submit_up_to(2).await;
    let old = cluster.leader().await;
    let link = cluster.dial(&old).await;
    cluster.isolate(&old).await;
    let uncommitted = note_command(&json!({"number": 3, "added": []}), "anna");
    let answer = propose_to(&link, uncommitted.clone()).await;
    let Some(outcome::Body::Unavailable(unavailable)) = answer else {
        panic!("acknowledged: {answer:?}");
    };
    // The final answer comes with the step-down, not after a timeout.
    let reasons = ["the leader was replaced", "no majority of replicas answers"];
    assert!(
        reasons.contains(&unavailable.reason.as_str()),
        "{}",
        unavailable.reason
    );

    cluster.leader_other_than(&old).await;
    let body = query::Body::Status(StatusQuery {});
    let query = Body::Query(Query { body: Some(body) });
    let read = link.call(query, crate::cluster::WAIT_TIMEOUT).await;
    assert!(matches!(read, Ok(Body::NotLeader(_))), "{read:?}");
    let refused = propose_to(&link, uncommitted).await;
    assert!(
        matches!(refused, None | Some(outcome::Body::Unavailable(_))),
        "{refused:?}"
    );

    let theirs =
        json!({"number": 3, "added": [{"kind": "model", "name": "theirs", "versions": ["1"]}]});
    cluster.submit(&theirs, "bojan").await;
    cluster.submit_up_to(5).await;
    assert!(cluster.applied_note(&old).await < Some(3));
    cluster.heal(&old);
    cluster.wait_for_note(&old, 5).await;
    let again = cluster.submit(&theirs, "bojan").await;
    assert_eq!(again.operator, "bojan");
}

/// Messages of a leader that was replaced arrive late: entries that conflict with
/// committed ones, a snapshot of an older state, and a vote. The replicas must reject them
/// and keep their state. The same holds for a message forged in the new leader's name.
#[tokio::test(flavor = "multi_thread")]
async fn late_messages_of_old_leader() {
    let mut cluster = Cluster::start(3).await;
    cluster.submit_up_to(3).await;
    let old = cluster.leader().await;
    let status = cluster.leader_status().await;
    let old_disk = u64::from_str_radix(status["disk"].as_str().unwrap(), 16).unwrap();
    let old_term = status["term"].as_u64().unwrap();
    cluster.stop_replica(&old).await;
    let new = cluster.leader_other_than(&old).await;
    cluster.submit_up_to(6).await;
    let before = cluster.leader_status().await;

    for name in cluster.names().iter().filter(|name| **name != old) {
        let status = cluster.control(name).status().await.unwrap();
        let to = u64::from_str_radix(status["disk"].as_str().unwrap(), 16).unwrap();
        let me = Identity::new(Role::Control, &old, old_disk);
        let link = cluster.dial_as(name, me).await;
        for body in stale_bodies(old_term) {
            let (from, term, body) = (old_disk, old_term, Some(body));
            let message = QuorumMessage {
                from,
                to,
                term,
                knows_compressed: false,
                body,
            };
            link.send(Body::Quorum(message)).await.unwrap();
        }
        // Sent in the name of the new leader by another replica.
        let from = u64::from_str_radix(before["disk"].as_str().unwrap(), 16).unwrap();
        let term = before["term"].as_u64().unwrap() + 5;
        let body = stale_bodies(term).pop();
        let forged = QuorumMessage {
            from,
            to,
            term,
            knows_compressed: false,
            body,
        };
        link.send(Body::Quorum(forged)).await.unwrap();
        link.send(Body::Quorum(QuorumMessage::default()))
            .await
            .unwrap();
    }
    cluster.submit_up_to(7).await;
    let after = cluster.leader_status().await;
    assert_eq!(
        (&after["replica"], &after["term"]),
        (&json!(new), &before["term"])
    );
    for name in cluster.names().iter().filter(|name| **name != old) {
        cluster.wait_for_note(name, 7).await;
    }
}

fn stale_bodies(term: u64) -> Vec<QuorumBody> {
    let entry = |index| LogEntry {
        index,
        term,
        kind: 1,
        ..LogEntry::default()
    };
    let entries = (1..30).map(entry).collect();
    let append = Append {
        commit: 29,
        round: 900,
        entries,
        ..Append::default()
    };
    let snapshot = InstallSnapshot {
        last_index: 500,
        last_term: term,
        done: true,
        ..InstallSnapshot::default()
    };
    vec![
        QuorumBody::VoteReply(VoteReply {
            pre: false,
            granted: true,
        }),
        QuorumBody::InstallSnapshot(snapshot),
        QuorumBody::Append(append),
    ]
}

/// The leader stops repeatedly while operators submit notes. Every acknowledged note must
/// be present at the next leader, in order.
#[tokio::test(flavor = "multi_thread")]
async fn leaders_lost_one_after_another() {
    let mut cluster = Cluster::start(3).await;
    for round in 1..=4 {
        cluster.submit_up_to(round * 5).await;
        let leader = cluster.leader().await;
        cluster.stop_replica(&leader).await;
        cluster.submit_up_to(round * 5 + 2).await;
        cluster.start_replica(&leader).await;
        cluster.wait_repaired().await;
    }
    for name in cluster.names() {
        cluster.wait_for_note(&name, 22).await;
    }
}

/// Only one replica of three is left. It must not lead alone, and must tell callers so at
/// once. When a second one is back, the cluster accepts commands again.
#[tokio::test(flavor = "multi_thread")]
async fn propose_without_majority() {
    let mut cluster = Cluster::start(3).await;
    cluster.submit_up_to(1).await;
    let names = cluster.names();
    cluster.stop_replica(&names[0]).await;
    cluster.stop_replica(&names[1]).await;
    let last = &names[2];
    wait_for("the last replica to step down", async || {
        let status = cluster.control(last).status().await.ok()?;
        (status["leads"] == false && status["leader"].is_null()).then_some(())
    })
    .await;
    let link = cluster.dial(last).await;
    let note = note_command(&json!({"number": 2}), "anna");
    let body = wire::proto::Command {
        now_ms: 0,
        body: Some(note),
    };
    let propose = Body::Propose(wire::proto::Propose {
        command: Some(body),
    });
    let answer = link.call(propose, crate::cluster::WAIT_TIMEOUT).await;
    assert!(matches!(answer, Ok(Body::NotLeader(_))), "{answer:?}");
    cluster.start_replica(&names[0]).await;
    cluster.submit_up_to(2).await;
}

/// The wall clock of a control host may be years off. The retention of records of
/// non-repeatable calls must not depend on it: otherwise all records would expire when that
/// host becomes the leader, and a resent call would run again.
#[tokio::test(flavor = "multi_thread")]
async fn time_is_not_wall_time() {
    const HOUR_MS: u64 = 3_600_000;
    let mut cluster = Cluster::start(3).await;
    cluster.submit_up_to(1).await;
    let time = async |cluster: &Cluster| {
        let status = cluster.leader_status().await;
        status["ledger"]["time_ms"].as_u64().unwrap()
    };
    let before = time(&cluster).await;
    assert!(before < HOUR_MS, "{before}");
    let leader = cluster.leader().await;
    cluster.stop_replica(&leader).await;
    cluster.submit_up_to(2).await;
    let after = time(&cluster).await;
    assert!(
        (before..before + HOUR_MS).contains(&after),
        "{before} {after}"
    );
}

/// Guards against a common start in which the leader alone has to send a large route
/// table to each of hundreds of nodes.
#[tokio::test(flavor = "multi_thread")]
async fn route_table_from_any_replica() {
    let cluster = Cluster::start(3).await;
    let table = RouteTable {
        number: 4,
        source: "a table".into(),
        ..RouteTable::default()
    };
    cluster
        .propose(command::Body::RouteTable(table.clone()))
        .await;
    let leader = cluster.leader().await;
    let follower = cluster.names().into_iter().find(|name| *name != leader);
    let link = cluster.dial(&follower.unwrap()).await;
    let ask = async |any_replica| {
        let body = query::Body::RouteTable(RouteTableQuery { any_replica });
        let query = Body::Query(Query { body: Some(body) });
        link.call(query, crate::cluster::WAIT_TIMEOUT).await
    };
    wait_for("the follower has the table", async || {
        let answer = ask(true).await;
        let Ok(Body::QueryReply(QueryReply {
            body: Some(query_reply::Body::RouteTable(held)),
        })) = answer
        else {
            panic!("{answer:?}");
        };
        (held == table).then_some(())
    })
    .await;
    assert!(matches!(ask(false).await, Ok(Body::NotLeader(_))));
}

/// Guards against commands that a restarted replica obeys although their leader was deposed
/// before they were committed.
#[tokio::test(flavor = "multi_thread")]
async fn restart_uncommitted_commands() {
    let mut cluster = Cluster::start(3).await;
    cluster.submit_up_to(1).await;
    cluster.propose(route_table(7, "held")).await;
    let leader = cluster.leader().await;
    for name in cluster.names() {
        cluster.wait_caught_up(&name).await;
    }
    cluster.isolate(&leader).await;
    let link = cluster.dial(&leader).await;
    let lost = [
        note_command(&json!({"number": 2}), "anna"),
        route_table(8, "lost"),
        command::Body::Evacuate(Evacuate {
            zone: "celje".to_owned(),
            active: true,
            seen: None,
        }),
        command::Body::Drain(Drain {
            target: "desk-01".to_owned(),
            draining: true,
        }),
    ];
    for body in lost {
        // It is not known when the command is appended, only that it is not committed.
        let outcome = timeout(Duration::from_millis(50), propose_to(&link, body)).await;
        assert!(!matches!(outcome, Ok(Some(outcome::Body::RouteTable(_)))));
    }
    wait_for("the commands on the disk", async || {
        let status = cluster.control(&leader).status().await.ok()?;
        (status["last"].as_u64()? >= status["commit"].as_u64()? + 4).then_some(())
    })
    .await;

    cluster.stop_replica(&leader).await;
    cluster.start_replica(&leader).await;
    let status = cluster.control(&leader).status().await.unwrap();
    assert!(status["last"].as_u64() >= status["commit"].as_u64().map(|commit| commit + 4));
    let (table, evacuations) = sent_to_entry(&cluster, &leader).await;
    assert_eq!(table.source, "held");
    assert_eq!(evacuations, Evacuations::default());
    assert_eq!(status["notes"]["accepted"], 1);
    assert_eq!(status["drained"], json!([]));
    assert_eq!(status["evacuated"], json!([]));

    cluster.propose(route_table(8, "accepted")).await;
    cluster.heal(&leader);
    cluster.wait_caught_up(&leader).await;
    let (table, _) = sent_to_entry(&cluster, &leader).await;
    assert_eq!(table.source, "accepted");
}

fn route_table(number: u64, source: &'static str) -> command::Body {
    command::Body::RouteTable(RouteTable {
        number,
        source: source.into(),
        ..RouteTable::default()
    })
}

/// What a replica sends an entry that has just started.
async fn sent_to_entry(cluster: &Cluster, replica: &str) -> (RouteTable, Evacuations) {
    sent_after_report(cluster, replica, Entrance::default()).await
}

/// What a replica sends an entry that reports this first.
async fn sent_after_report(
    cluster: &Cluster,
    replica: &str,
    entrance: Entrance,
) -> (RouteTable, Evacuations) {
    let (link, mut rx) = cluster.dial_as_node(replica).await;
    let report = Report {
        entrance: Some(entrance),
        knows_evacuations: true,
        ..Report::default()
    };
    let reply = link.call(Body::Report(report), crate::cluster::WAIT_TIMEOUT);
    assert!(matches!(reply.await, Ok(Body::Reported(_))));
    let (mut table, mut evacuations) = (None, None);
    wait_for("the state for an entry", async || {
        while let Ok(incoming) = rx.try_recv() {
            match incoming.body {
                Body::RouteTable(sent) => table = Some(sent),
                Body::Evacuations(sent) => evacuations = Some(sent),
                _ => {}
            }
        }
        (table.is_some() && evacuations.is_some()).then_some(())
    })
    .await;
    link.close();
    (table.unwrap(), evacuations.unwrap())
}

/// Guards against an entry that keeps other content than the replicas under one number, which
/// a replica of an earlier version may have sent it.
#[tokio::test(flavor = "multi_thread")]
async fn report_other_content() {
    let cluster = Cluster::start(3).await;
    cluster.propose(route_table(7, "held")).await;
    let leader = cluster.leader().await;
    let entrance = Entrance {
        name: "entry-1".to_owned(),
        table: 7,
        table_digest: TableDigest::of(b"lost").0,
        ..Entrance::default()
    };
    let (table, _) = sent_after_report(&cluster, &leader, entrance).await;
    assert_eq!(table.source, "held");
    let status = cluster.control(&leader).status().await.unwrap();
    let digest = TableDigest::of(b"held").to_string();
    assert_eq!(
        status["route_table"],
        json!({"number": 7, "digest": digest})
    );
}
