//! Established connections that silently drop all bytes while new connections work.

use crate::support::{
    Cluster, ClusterPlan, Relay, bearer, chat, open_stream, read_at_least, read_to_end, request,
    reserve, until,
};
use hyper::body::Incoming;
use serde_json::json;
use std::net::SocketAddr;

/// Direction in which a connection drops bytes; the server is the side that accepted it.
#[derive(Clone, Copy)]
enum LostDirection {
    ToServer,
    FromServer,
    Both,
}

fn drop_bytes(relay: &Relay, lost: LostDirection) {
    if matches!(lost, LostDirection::ToServer | LostDirection::Both) {
        relay.discard_to_target();
    }
    if matches!(lost, LostDirection::FromServer | LostDirection::Both) {
        relay.discard_from_target();
    }
}

/// Asks for an answer longer than what an agent sends ahead of acknowledged progress.
fn body(prompt: &str) -> String {
    json!({"model": "burl-notes", "stream": true, "max_tokens": 1600,
           "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

async fn open(address: SocketAddr, prompt: &str) -> Incoming {
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/chat/completions";
    let res = open_stream(address, "POST", path, &headers, body(prompt)).await;
    let res = res.unwrap();
    assert_eq!(res.status(), 200);
    res.into_body()
}

async fn start_cluster(engines: usize) -> Cluster {
    let plan = ClusterPlan {
        entries: 1,
        engines,
        services: 1,
        step_ms: 5,
        ..ClusterPlan::default()
    };
    let cluster = Cluster::start(plan).await;
    cluster.submit_first_note().await;
    cluster
}

/// Asserts that a caller's stream is complete although the link drops bytes.
async fn link_silent(lost: LostDirection) {
    let cluster = start_cluster(1).await;
    let entry = cluster.http("entry-1");
    let mut stream = open(entry, "figure of a burl").await;
    let received = read_at_least(&mut stream, 2_000).await;
    drop_bytes(&cluster.relays["advisor-01"], lost);
    let full_body = read_to_end(stream, received).await;
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    let fake = cluster.http("fake-advisor-01");
    let path = "/v1/chat/completions";
    let expected = request(fake, "POST", path, &headers, body("figure of a burl")).await;
    assert_eq!(full_body, expected.unwrap().body);
}

#[tokio::test(flavor = "multi_thread")]
async fn link_silent_to_agent() {
    // Bytes from the entry to the agent are lost; the other direction works.
    // The caller's stream must continue over a new link.
    link_silent(LostDirection::ToServer).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn link_silent_from_agent() {
    // Bytes from the agent to the entry are lost. Without a timeout the caller
    // would wait for ever, since such a connection reports no error.
    link_silent(LostDirection::FromServer).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn link_silent_both_ways() {
    // Both directions are lost, as when a middlebox drops its connection state.
    link_silent(LostDirection::Both).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reservation_over_silent_link() {
    // The link drops bytes just before a reservation is sent over it, so that it
    // is at first unknown whether it arrived. It must run exactly once, and the
    // caller gets the answer, if need be by a retry.
    let cluster = start_cluster(1).await;
    let entry = cluster.http("entry-1");
    for (number, lost) in [
        LostDirection::ToServer,
        LostDirection::FromServer,
        LostDirection::Both,
    ]
    .into_iter()
    .enumerate()
    {
        drop_bytes(&cluster.relays["desk-01"], lost);
        let key = format!("lot-{number}");
        let answer = until("an answer to the reservation", || async {
            let answer = reserve(entry, "huber", &key, "maple burl").await.ok()?;
            (answer.status == 200).then_some(answer)
        })
        .await;
        assert_eq!(answer.json()["count"], 1);
        assert_eq!(cluster.ran(&key).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn control_links_silent() {
    // The links of entry and agent to control drop bytes. Both must reconnect
    // before their leases expire, or no request could be served.
    let cluster = start_cluster(1).await;
    let entry = cluster.http("entry-1");
    for lost in [
        LostDirection::ToServer,
        LostDirection::FromServer,
        LostDirection::Both,
    ] {
        let to_control = cluster
            .relays
            .iter()
            .filter(|(name, _)| name.starts_with("entry-1>") || name.starts_with("advisor-01>"));
        for (_, relay) in to_control {
            drop_bytes(relay, lost);
        }
        let before = cluster.relays["entry-1>control-1"].connections();
        until("a new connection to control", || async {
            let now = cluster.relays["entry-1>control-1"].connections();
            (now > before).then_some(())
        })
        .await;
        until("requests are served", || async {
            let answer = chat(entry, "huber", "hello", false).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_connection_silent() {
    // The connection between an agent and its engine drops bytes in
    // mid-stream. The caller's stream continues, at this target or another one.
    let cluster = start_cluster(2).await;
    let entry = cluster.http("entry-1");
    for lost in [
        LostDirection::ToServer,
        LostDirection::FromServer,
        LostDirection::Both,
    ] {
        let mut stream = open(entry, "knots and bark").await;
        let received = read_at_least(&mut stream, 2_000).await;
        drop_bytes(&cluster.relays["fake-advisor-01"], lost);
        drop_bytes(&cluster.relays["fake-advisor-02"], lost);
        let full_body = read_to_end(stream, received).await;
        assert!(full_body.ends_with(b"data: [DONE]\n\n"));
    }
}
