//! Handling of batches of renewals by control.

use super::zone::{key, start_control};
use std::time::Duration;
use wire::proto::frame::Body;
use wire::proto::{
    NodeInfo, Query, QueryReply, Renew, RenewBatch, RenewedBatch, StatusQuery, query, query_reply,
};
use wire::{Identity, Link, LinkSettings, Role};

async fn dial(address: std::net::SocketAddr) -> Link {
    let me = Identity::new(Role::Agent, "relay", 1);
    let dialled = wire::dial(address, &me, &key(), &LinkSettings::default()).await;
    let (link, mut rx) = dialled.unwrap();
    tokio::spawn(async move { while rx.recv().await.is_some() {} });
    link
}

fn renewal(name: &str, incarnation: u64, sequence: u64) -> Renew {
    let info = NodeInfo {
        role: Role::Agent.into(),
        name: name.to_owned(),
        incarnation,
        zone: "celje".to_owned(),
        ..NodeInfo::default()
    };
    Renew {
        node: Some(info),
        sequence,
        ..Renew::default()
    }
}

async fn renew_until_granted(link: &Link, renewals: Vec<Renew>) -> RenewedBatch {
    let deadline = std::time::Instant::now() + Duration::from_mins(1);
    loop {
        let batch = RenewBatch {
            renewals: renewals.clone(),
        };
        let answer = link
            .call(Body::RenewBatch(batch), Duration::from_secs(10))
            .await;
        if let Ok(Body::RenewedBatch(renewed)) = answer {
            return renewed;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "no renewal granted in time"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against accepting or refusing a batch as a whole. If one of its renewals is of a
/// replaced process, that process would get work again, or the other nodes would lose
/// their leases.
#[tokio::test]
async fn renew_batch_superseded_among_others() {
    let (_control, address, _folder) = start_control().await;
    let link = dial(address).await;
    renew_until_granted(&link, vec![renewal("desk-01", 1, 1)]).await;
    renew_until_granted(&link, vec![renewal("desk-01", 2, 1)]).await;
    let renewed = renew_until_granted(
        &link,
        vec![
            renewal("desk-02", 7, 1),
            renewal("desk-01", 1, 2),
            renewal("desk-01", 2, 2),
        ],
    )
    .await;
    let leases: Vec<bool> = renewed.renewals.iter().map(|r| r.lease_ms > 0).collect();
    assert_eq!(leases, [true, false, true]);
}

/// Guards against sending the same view once for each node: when all nodes start together,
/// the leader would send as many views as there are nodes.
#[tokio::test]
async fn renew_batch_views_sent_once() {
    let (_control, address, _folder) = start_control().await;
    let link = dial(address).await;
    let all = (0..20)
        .map(|n| renewal(&format!("desk-{n:02}"), 1, 1))
        .collect();
    let renewed = renew_until_granted(&link, all).await;
    assert_eq!(renewed.views.len(), 1);
    assert_eq!(renewed.views[0].nodes.len(), 20);
    assert!(renewed.renewals.iter().all(|r| r.shared_view == 1));
    let mut known = renewal("desk-00", 1, 2);
    (known.view_term, known.view_version) = (renewed.renewals[0].term, renewed.views[0].version);
    let renewed = renew_until_granted(&link, vec![known, renewal("desk-01", 1, 2)]).await;
    let shared_views: Vec<u32> = renewed.renewals.iter().map(|r| r.shared_view).collect();
    assert!(
        shared_views[0] == 0 || renewed.views.len() == 2,
        "{shared_views:?}"
    );
    assert_ne!(shared_views[1], 0);
}

/// Guards against taking the release note of one node for all in the batch: a note would
/// be reported as in use everywhere while one node still uses an earlier one.
#[tokio::test(flavor = "multi_thread")]
async fn renew_batch_note_of_each() {
    let (_control, address, _folder) = start_control().await;
    let link = dial(address).await;
    let mut ahead = renewal("desk-01", 1, 1);
    ahead.note = 3;
    let behind = renewal("desk-02", 1, 1);
    renew_until_granted(&link, vec![ahead, behind]).await;
    let status = Body::Query(Query {
        body: Some(query::Body::Status(StatusQuery {})),
    });
    let answer = link.call(status, Duration::from_secs(10)).await.unwrap();
    let Body::QueryReply(QueryReply {
        body: Some(query_reply::Body::Json(json)),
    }) = answer
    else {
        panic!("{answer:?}");
    };
    let status: serde_json::Value = serde_json::from_slice(&json).unwrap();
    let nodes = status["nodes"].as_array().unwrap().iter();
    let notes_in_use: Vec<_> = nodes
        .map(|node| (node["name"].as_str(), node["note"].as_u64()))
        .collect();
    assert_eq!(
        notes_in_use,
        [(Some("desk-01"), Some(3)), (Some("desk-02"), Some(0))]
    );
}

/// Number of nodes in the views that control sends to nodes that start together in one
/// zone and renew directly, twice each.
async fn nodes_in_views(count: u32, takes_relay: bool) -> usize {
    let (_control, address, _folder) = start_control().await;
    let link = dial(address).await;
    renew_until_granted(&link, vec![renewal("first", 1, 1)]).await;
    let mut held = std::collections::BTreeMap::new();
    let mut sent = 0;
    for sequence in 1..=2 {
        for number in 0..count {
            let mut renew = renewal(&format!("node-{number:03}"), 1, sequence);
            if let Some(info) = &mut renew.node {
                info.link_address = format!("127.0.0.1:{}", 10_000 + number);
            }
            renew.takes_relay = takes_relay;
            (renew.view_term, renew.view_version) = held.get(&number).copied().unwrap_or_default();
            let answer = link.call(Body::Renew(renew), Duration::from_secs(10));
            let Ok(Body::Renewed(renewed)) = answer.await else {
                panic!("not renewed")
            };
            assert!(!takes_relay || renewed.view.is_some() || renewed.relay.is_some());
            if let Some(view) = renewed.view {
                sent += view.nodes.len();
                held.insert(number, (view.term, view.version));
            }
        }
    }
    sent
}

/// Guards against a leader that is busy for many seconds with the views of a thousand
/// nodes that start together and know no relay yet.
#[tokio::test]
async fn renew_directly_names_relay() {
    for count in [100, 200] {
        let (with, without) = (
            nodes_in_views(count, true).await,
            nodes_in_views(count, false).await,
        );
        assert!(with * 4 < without, "{count} nodes: {with} of {without}");
    }
}
