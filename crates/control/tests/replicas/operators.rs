//! Concurrent operators, and operators whose answers are lost.

use crate::cluster::{Cluster, note_command, propose_to};
use control::EvacuateOutcome;
use serde_json::{Value, json};
use wire::proto::note_outcome::Kind;
use wire::proto::{Evacuate, command, outcome};

fn note_with(number: u64, model: &str) -> Value {
    json!({"number": number, "added": [{"kind": "model", "name": model, "versions": ["1"]}]})
}

/// Two operators send different notes with the same number at the same time. One note is
/// accepted, and the other operator is told whose.
#[tokio::test(flavor = "multi_thread")]
async fn submit_same_number_two_operators() {
    let cluster = Cluster::start(3).await;
    for number in 1..=20 {
        let (annas, bojans) = (
            note_with(number, &format!("a{number}")),
            note_with(number, &format!("b{number}")),
        );
        let (anna, bojan) = tokio::join!(
            cluster.submit(&annas, "anna"),
            cluster.submit(&bojans, "bojan")
        );
        let (winner, loser, name) = match anna.kind() {
            Kind::Accepted => (anna, bojan, "anna"),
            _ => (bojan, anna, "bojan"),
        };
        assert_eq!(winner.kind(), Kind::Accepted);
        assert_eq!(loser.kind(), Kind::Conflict);
        assert_eq!(loser.operator, name);
        assert_eq!(loser.digest, winner.digest);
    }
}

/// An operator's connection breaks just after the note was sent, and the leader is lost
/// as well. However often the operator resends the note, it is accepted once, and every
/// answer matches the first.
#[tokio::test(flavor = "multi_thread")]
async fn submit_resent_after_lost_answer() {
    let mut cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let note = note_with(1, "burl-notes");
    let link = cluster.dial(&leader).await;
    let (sent, ()) = tokio::join!(propose_to(&link, note_command(&note, "anna")), async {
        link.close();
    });
    assert!(sent.is_none());
    cluster.stop_replica(&leader).await;
    let first = cluster.submit(&note, "anna").await;
    assert!(matches!(first.kind(), Kind::Accepted | Kind::Repeated));
    cluster.submit(&note_with(2, "figure-notes"), "bojan").await;
    let again = cluster.submit(&note, "anna").await;
    assert_eq!(again.kind(), Kind::Repeated);
    assert_eq!((again.number, &again.operator), (1, &"anna".to_owned()));
    assert_eq!(again.digest, first.digest);
}

/// A note that leaves a gap, an invalid note and bytes that are not a note: each is
/// refused with the reason and has no effect.
#[tokio::test(flavor = "multi_thread")]
async fn submit_refused() {
    let cluster = Cluster::start(1).await;
    let gap = cluster.submit(&json!({"number": 2}), "anna").await;
    assert_eq!((gap.kind(), gap.number), (Kind::Gap, 1));
    let wrong = json!({"number": 1, "withdrawn": [{"kind": "model", "name": "none"}]});
    let invalid = cluster.submit(&wrong, "anna").await;
    assert_eq!(invalid.kind(), Kind::Invalid);
    assert!(!invalid.findings.is_empty());
    let bytes = cluster.submit(&json!("no note"), "anna").await;
    assert_eq!(bytes.kind(), Kind::Invalid);
    assert_eq!(cluster.leader_status().await["notes"]["accepted"], 0);
}

/// A note above the size limit is refused at once and does not block others.
#[tokio::test(flavor = "multi_thread")]
async fn submit_too_long() {
    let cluster = Cluster::start(1).await;
    let link = cluster.dial("r1").await;
    let long = json!({"number": 1, "added": "x".repeat(5 << 20)});
    let outcome = propose_to(&link, note_command(&long, "anna")).await;
    let Some(outcome::Body::Unavailable(refused)) = outcome else {
        panic!("not refused: {outcome:?}");
    };
    assert!(!refused.maybe);
    cluster.submit_up_to(1).await;
}

async fn evacuate(
    cluster: &Cluster,
    replica: &str,
    active: bool,
    seen: Option<u64>,
) -> EvacuateOutcome {
    let control = cluster.control(replica);
    control.evacuate("celje", active, seen).await
}

/// Guards against an evacuation that an order given before it takes back, at any replica and
/// however late: it is carried out only for a caller that has seen the newest state.
#[tokio::test(flavor = "multi_thread")]
async fn evacuate_outdated_order() {
    let cluster = Cluster::start(3).await;
    cluster.submit_up_to(1).await;
    let mut number = 0;
    for name in cluster.names() {
        for active in [true, false, true] {
            let asked = evacuate(&cluster, &name, active, None).await;
            assert_eq!(asked, EvacuateOutcome::Unconfirmed(number));
            for _ in 0..2 {
                let done = evacuate(&cluster, &name, active, Some(number)).await;
                assert_eq!(done, EvacuateOutcome::Accepted);
            }
            number += 1;
        }
        for seen in 0..number {
            let late = evacuate(&cluster, &name, false, Some(seen)).await;
            assert_eq!(late, EvacuateOutcome::Unconfirmed(number));
        }
        let held = evacuate(&cluster, &name, true, None).await;
        assert_eq!(held, EvacuateOutcome::Accepted);
        let done = evacuate(&cluster, &name, false, Some(number)).await;
        assert_eq!(done, EvacuateOutcome::Accepted);
        number += 1;
    }
}

/// Guards against orders that are given against one state and both carried out, as the
/// second comes before the first is applied.
#[tokio::test(flavor = "multi_thread")]
async fn evacuate_concurrent_orders() {
    let cluster = Cluster::start(3).await;
    cluster.submit_up_to(1).await;
    let link = cluster.dial(&cluster.leader().await).await;
    let order = |zone: usize| {
        command::Body::Evacuate(Evacuate {
            zone: format!("zone-{zone}"),
            active: true,
            seen: Some(0),
        })
    };
    let sent = (0..8).map(|zone| {
        let (link, body) = (link.clone(), order(zone));
        tokio::spawn(async move { propose_to(&link, body).await })
    });
    let mut carried_out = 0;
    for answer in sent.collect::<Vec<_>>() {
        match answer.await.unwrap() {
            Some(outcome::Body::Evacuation(outcome)) => {
                carried_out += usize::from(!outcome.outdated);
            }
            Some(outcome::Body::Unavailable(refused)) => assert!(!refused.maybe),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(carried_out, 1);
}
