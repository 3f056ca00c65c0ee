//! Leases of nodes, and when a release note is in force everywhere.

use crate::cluster::{Cluster, WAIT_TIMEOUT, wait_for};
use serde_json::Value;
use tokio::time::timeout;
use wire::Link;
use wire::proto::command;
use wire::proto::frame::Body;
use wire::proto::{Crashed, NodeInfo, Renew, Renewed, Role};

fn entry(name: &str, incarnation: u64) -> NodeInfo {
    NodeInfo {
        role: Role::Entry.into(),
        name: name.to_owned(),
        incarnation,
        zone: "ptuj".to_owned(),
        ..NodeInfo::default()
    }
}

async fn renew(link: &Link, info: NodeInfo, note: u64) -> Option<Renewed> {
    let renew = Renew {
        node: Some(info),
        note,
        ..Renew::default()
    };
    match link.call(Body::Renew(renew), WAIT_TIMEOUT).await {
        Ok(Body::Renewed(renewed)) => Some(renewed),
        _ => None,
    }
}

async fn notes(cluster: &Cluster) -> Value {
    cluster.leader_status().await["notes"].clone()
}

/// An entry remains on an older note, for example because its link is stalled. The newer
/// note must not be reported as in force everywhere while that entry may take work, and
/// must be once its lease has expired, even without further contact.
#[tokio::test(flavor = "multi_thread")]
async fn in_force_waits_for_lease() {
    let cluster = Cluster::start(1).await;
    cluster.submit_up_to(1).await;
    let link = cluster.dial("r1").await;
    wait_for("leases of earlier leaders to end", async || {
        (notes(&cluster).await["in_force_everywhere"] == 1).then_some(())
    })
    .await;
    let granted = renew(&link, entry("entry-1", 7), 1).await.unwrap();
    assert!(granted.lease_ms > 0 && granted.note == 1);
    cluster.submit_up_to(2).await;
    let status = notes(&cluster).await;
    // On a slow host the lease may already have expired here.
    if status["in_force_everywhere"] != 2 {
        assert_eq!(status["in_force_everywhere"], 1);
        assert_eq!(status["lagging"][0], "entry entry-1");
    }
    wait_for("the lease to end", async || {
        (notes(&cluster).await["in_force_everywhere"] == 2).then_some(())
    })
    .await;
}

/// A process was restarted, and a message of its previous incarnation arrives late. That
/// incarnation gets no lease, and the view keeps the new one.
#[tokio::test(flavor = "multi_thread")]
async fn renew_superseded_incarnation() {
    let cluster = Cluster::start(1).await;
    let link = cluster.dial("r1").await;
    assert!(renew(&link, entry("entry-1", 7), 0).await.unwrap().lease_ms > 0);
    assert!(renew(&link, entry("entry-1", 8), 0).await.unwrap().lease_ms > 0);
    let late = renew(&link, entry("entry-1", 7), 0).await.unwrap();
    assert_eq!(late.lease_ms, 0);
    let view = late.view.unwrap();
    assert_eq!(view.nodes[0].incarnation, 8);
}

/// An isolated leader must not grant leases any more: its node would take work under an
/// old note while another leader reports the next note as in force everywhere.
#[tokio::test(flavor = "multi_thread")]
async fn renew_at_isolated_leader() {
    let cluster = Cluster::start(3).await;
    let old = cluster.leader().await;
    let link = cluster.dial(&old).await;
    let granted = wait_for("a lease", async || {
        renew(&link, entry("entry-1", 7), 0).await
    })
    .await;
    assert!(granted.lease_ms > 0);
    cluster.isolate(&old).await;
    cluster.leader_other_than(&old).await;
    assert!(renew(&link, entry("entry-1", 7), 0).await.is_none());
    cluster.submit_up_to(1).await;
    wait_for("the note to be in force", async || {
        (notes(&cluster).await["in_force_everywhere"] == 1).then_some(())
    })
    .await;
}

/// A renewal without a name, with an invalid address or from a process that is not a node
/// gets no lease and has no other effect.
#[tokio::test(flavor = "multi_thread")]
async fn renew_malformed() {
    let cluster = Cluster::start(1).await;
    let link = cluster.dial("r1").await;
    let nameless = renew(&link, entry("", 7), 0).await.unwrap();
    assert_eq!(nameless.lease_ms, 0);
    let mut wrong = entry("entry-1", 7);
    wrong.link_address = "nowhere".to_owned();
    assert_eq!(renew(&link, wrong, 0).await.unwrap().lease_ms, 0);
    let mut control = entry("entry-1", 7);
    control.role = Role::Control.into();
    assert_eq!(renew(&link, control, 0).await.unwrap().lease_ms, 0);
    cluster.submit_up_to(1).await;
}

/// A request has crashed a target. Until a node learns of it, the same request may crash
/// the next target, so nodes are sent a hint before their next renewal.
#[tokio::test(flavor = "multi_thread")]
async fn hint_quarantine_changed() {
    let cluster = Cluster::start(1).await;
    let (_link, mut rx) = cluster.dial_as_node("r1").await;
    let crashed = Crashed {
        target: "advisor-01".to_owned(),
        incarnation: 7,
        fingerprints: vec![vec![1; 32].into()],
        requests: Vec::new(),
    };
    cluster.propose(command::Body::Crashed(crashed)).await;
    let hint = timeout(WAIT_TIMEOUT, rx.recv()).await.unwrap().unwrap();
    assert!(matches!(hint.body, Body::Renewed(_)) && hint.call == 0);
    cluster.submit_up_to(1).await;
    let hint = timeout(WAIT_TIMEOUT, rx.recv()).await.unwrap().unwrap();
    assert!(matches!(hint.body, Body::Notes(notes) if notes.number == 1));
}
