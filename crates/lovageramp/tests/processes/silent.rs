//! Connections that go silent for good while new ones work.

use crate::support::{
    Cluster, ClusterPlan, Relay, bearer, chat, open_stream, read_at_least, read_to_end, request,
    reserve, until,
};
use hyper::body::Incoming;
use serde_json::json;
use std::net::SocketAddr;

/// Which bytes a connection loses.
#[derive(Clone, Copy)]
enum Lost {
    There,
    Back,
    Both,
}

fn swallow(relay: &Relay, lost: Lost) {
    if matches!(lost, Lost::There | Lost::Both) {
        relay.swallow_there();
    }
    if matches!(lost, Lost::Back | Lost::Both) {
        relay.swallow_back();
    }
}

/// Longer than what an agent sends ahead of the progress that it hears of.
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

async fn cluster(engines: usize) -> Cluster {
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

/// A stream whose link goes silent is whole in the end.
async fn link_silent(lost: Lost) {
    let cluster = cluster(1).await;
    let entry = cluster.http("entry-1");
    let mut stream = open(entry, "figure of a burl").await;
    let got = read_at_least(&mut stream, 2_000).await;
    swallow(&cluster.relays["advisor-01"], lost);
    let whole = read_to_end(stream, got).await;
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    let fake = cluster.http("fake-advisor-01");
    let path = "/v1/chat/completions";
    let truth = request(fake, "POST", path, &headers, body("figure of a burl")).await;
    assert_eq!(whole, truth.unwrap().body);
}

#[tokio::test(flavor = "multi_thread")]
async fn link_silent_there() {
    // What the entry sends to the agent is lost, and what comes back isn't.
    // The caller's stream must go on over a fresh link.
    link_silent(Lost::There).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn link_silent_back() {
    // What the agent sends to the entry is lost. The caller would wait for
    // ever, since nothing ever fails on such a connection.
    link_silent(Lost::Back).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn link_silent_both_ways() {
    // A middle box has lost track of the link in both directions.
    link_silent(Lost::Both).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reservation_over_silent_link() {
    // The link goes silent just before a reservation is sent over it. Nobody
    // can tell at first whether it arrived; in the end it ran once, and its
    // caller has the answer or asks again and gets it.
    let cluster = cluster(1).await;
    let entry = cluster.http("entry-1");
    for (number, lost) in [Lost::There, Lost::Back, Lost::Both]
        .into_iter()
        .enumerate()
    {
        swallow(&cluster.relays["desk-01"], lost);
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
    // The links of entry and agent to control go silent. Both must dial afresh
    // before their leases run out, or all work would stop.
    let cluster = cluster(1).await;
    let entry = cluster.http("entry-1");
    for lost in [Lost::There, Lost::Back, Lost::Both] {
        let to_control = cluster
            .relays
            .iter()
            .filter(|(name, _)| name.starts_with("entry-1>") || name.starts_with("advisor-01>"));
        for (_, relay) in to_control {
            swallow(relay, lost);
        }
        let before = cluster.relays["entry-1>control-1"].connections();
        until("a fresh connection", || async {
            let now = cluster.relays["entry-1>control-1"].connections();
            (now > before).then_some(())
        })
        .await;
        until("work goes on", || async {
            let answer = chat(entry, "huber", "hello", false).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_connection_silent() {
    // The connection between an agent and its engine goes silent in
    // mid-stream. The caller's stream goes on, at this target or another one.
    let cluster = cluster(2).await;
    let entry = cluster.http("entry-1");
    for lost in [Lost::There, Lost::Back, Lost::Both] {
        let mut stream = open(entry, "knots and bark").await;
        let got = read_at_least(&mut stream, 2_000).await;
        swallow(&cluster.relays["fake-advisor-01"], lost);
        swallow(&cluster.relays["fake-advisor-02"], lost);
        let whole = read_to_end(stream, got).await;
        assert!(whole.ends_with(b"data: [DONE]\n\n"));
    }
}
