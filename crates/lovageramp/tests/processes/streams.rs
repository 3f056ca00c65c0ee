//! Streams through the real processes: whole, and nobody else's.

use crate::support::{
    Answer, Cluster, ClusterPlan, bearer, open_stream, read_at_least, read_to_end, request, until,
};
use hyper::body::Incoming;
use serde_json::json;
use std::net::SocketAddr;

const TOKENS: u32 = 400;

fn body(prompt: &str, tokens: u32) -> String {
    json!({"model": "burl-notes", "stream": true, "max_tokens": tokens,
           "messages": [{"role": "user", "content": prompt}]})
    .to_string()
}

async fn ask(address: SocketAddr, prompt: &str, tokens: u32) -> Answer {
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/chat/completions";
    request(address, "POST", path, &headers, body(prompt, tokens))
        .await
        .unwrap()
}

/// What the engine itself gives for a request: the truth to compare with.
async fn truth(cluster: &Cluster, prompt: &str, tokens: u32) -> Answer {
    ask(cluster.http("fake-advisor-01"), prompt, tokens).await
}

/// The same for all of several prompts.
async fn truths(cluster: &Cluster, prompts: &[String], tokens: u32) -> Vec<Answer> {
    let engine = cluster.http("fake-advisor-01");
    let asked = prompts.iter().cloned();
    let asked = asked.map(|prompt| tokio::spawn(async move { ask(engine, &prompt, tokens).await }));
    let mut truths = Vec::new();
    for answer in asked.collect::<Vec<_>>() {
        truths.push(answer.await.unwrap());
    }
    truths
}

fn prompts(count: usize) -> Vec<String> {
    (0..count)
        .map(|number| format!("stream {number}"))
        .collect()
}

async fn open(address: SocketAddr, prompt: &str) -> Incoming {
    let bearer = bearer("huber");
    let headers = [("authorization", bearer.as_str())];
    let path = "/v1/chat/completions";
    let sent = body(prompt, TOKENS);
    let res = open_stream(address, "POST", path, &headers, sent).await;
    let res = res.unwrap();
    assert_eq!(res.status(), 200);
    res.into_body()
}

async fn cluster(plan: ClusterPlan) -> Cluster {
    let cluster = Cluster::start(plan).await;
    cluster.submit_first_note().await;
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn link_cut_in_mid_stream() {
    // The link between entry and agent is reset while streams run, and a fresh
    // one works. Each caller's stream goes on at the byte where it stopped.
    let plan = ClusterPlan {
        entries: 1,
        engines: 1,
        services: 1,
        step_ms: 5,
        ..ClusterPlan::default()
    };
    let cluster = cluster(plan).await;
    let entry = cluster.http("entry-1");
    let mut streams = Vec::new();
    let prompts = prompts(20);
    for prompt in &prompts {
        streams.push(open(entry, prompt).await);
    }
    let mut got = Vec::new();
    for stream in &mut streams {
        got.push(read_at_least(stream, 2_000).await);
    }
    cluster.relays["advisor-01"].cut();
    cluster.relays["advisor-01"].heal();
    let truths = truths(&cluster, &prompts, TOKENS).await;
    for ((stream, got), truth) in streams.into_iter().zip(got).zip(truths) {
        assert_eq!(read_to_end(stream, got).await, truth.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_200_through_one_entry() {
    // Two hundred callers stream at once through one entry and one agent, over
    // one link. Each gets its own answer, byte by byte.
    let plan = ClusterPlan {
        entries: 1,
        engines: 1,
        services: 1,
        // All of them run at once; none depends on how soon another one ends.
        limit: 1_000,
        ..ClusterPlan::default()
    };
    let cluster = cluster(plan).await;
    let entry = cluster.http("entry-1");
    let prompts = prompts(200);
    let asked = prompts.iter().cloned();
    let asked = asked.map(|prompt| tokio::spawn(async move { ask(entry, &prompt, 60).await }));
    let asked: Vec<_> = asked.collect();
    let truths = truths(&cluster, &prompts, 60).await;
    for (answer, truth) in asked.into_iter().zip(truths) {
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(!answer.broken);
        assert_eq!(answer.body, truth.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_in_mid_stream() {
    // An agent dies with streams open, and its target is out of reach with it.
    // The streams go on at another target, after the events already given.
    let plan = ClusterPlan {
        entries: 1,
        engines: 3,
        services: 1,
        step_ms: 5,
        ..ClusterPlan::default()
    };
    let mut cluster = cluster(plan).await;
    let entry = cluster.http("entry-1");
    let mut streams = Vec::new();
    let mut got = Vec::new();
    let prompts = prompts(12);
    for prompt in &prompts {
        streams.push(open(entry, prompt).await);
    }
    for stream in &mut streams {
        got.push(read_at_least(stream, 2_000).await);
    }
    cluster.kill("advisor-02").await;
    let truths = truths(&cluster, &prompts, TOKENS).await;
    for ((stream, got), truth) in streams.into_iter().zip(got).zip(truths) {
        assert_eq!(read_to_end(stream, got).await, truth.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_ends_early() {
    // The only engine ends each stream after a few events as if that were all.
    // The caller must see its stream break off, never a short one that ends
    // properly.
    let plan = ClusterPlan {
        entries: 1,
        engines: 1,
        services: 1,
        ..ClusterPlan::default()
    };
    let cluster = cluster(plan).await;
    let entry = cluster.http("entry-1");
    cluster.fault("advisor-01", "end-early", "5").await;
    let answer = ask(entry, "short", 60).await;
    let ended = answer.text().ends_with("data: [DONE]\n\n");
    assert!(!ended && (answer.broken || answer.status != 200));
    cluster.fault("advisor-01", "clear", "").await;
    let whole = until("streams are whole again", || async {
        let answer = ask(entry, "short", 60).await;
        (answer.status == 200 && !answer.broken).then_some(answer)
    })
    .await;
    assert_eq!(whole.body, truth(&cluster, "short", 60).await.body);
}
