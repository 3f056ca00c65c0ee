//! Streams through the real processes are complete and reach only their own caller.

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

/// The engine's own answer to a request, which the caller's answer must equal.
async fn expected_answer(cluster: &Cluster, prompt: &str, tokens: u32) -> Answer {
    ask(cluster.http("fake-advisor-01"), prompt, tokens).await
}

/// The engine's own answers to several prompts.
async fn expected_answers(cluster: &Cluster, prompts: &[String], tokens: u32) -> Vec<Answer> {
    let engine = cluster.http("fake-advisor-01");
    let asked = prompts.iter().cloned();
    let asked = asked.map(|prompt| tokio::spawn(async move { ask(engine, &prompt, tokens).await }));
    let mut expected_answers = Vec::new();
    for answer in asked.collect::<Vec<_>>() {
        expected_answers.push(answer.await.unwrap());
    }
    expected_answers
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

async fn start_cluster(plan: ClusterPlan) -> Cluster {
    let cluster = Cluster::start(plan).await;
    cluster.submit_first_note().await;
    cluster
}

#[tokio::test(flavor = "multi_thread")]
async fn link_cut_in_mid_stream() {
    // The link between entry and agent is reset while streams run, and a new
    // one works. Each caller's stream continues at the byte where it stopped.
    let plan = ClusterPlan {
        entries: 1,
        engines: 1,
        services: 1,
        step_ms: 5,
        ..ClusterPlan::default()
    };
    let cluster = start_cluster(plan).await;
    let entry = cluster.http("entry-1");
    let mut streams = Vec::new();
    let prompts = prompts(20);
    for prompt in &prompts {
        streams.push(open(entry, prompt).await);
    }
    let mut received = Vec::new();
    for stream in &mut streams {
        received.push(read_at_least(stream, 2_000).await);
    }
    cluster.relays["advisor-01"].cut();
    cluster.relays["advisor-01"].heal();
    let expected_answers = expected_answers(&cluster, &prompts, TOKENS).await;
    for ((stream, received), expected_answer) in
        streams.into_iter().zip(received).zip(expected_answers)
    {
        assert_eq!(read_to_end(stream, received).await, expected_answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_200_through_one_entry() {
    // 200 callers stream concurrently through one entry and one agent, over
    // one link. Each gets exactly the bytes of its own answer.
    let plan = ClusterPlan {
        entries: 1,
        engines: 1,
        services: 1,
        // High enough that all run concurrently and none waits for another one to end.
        limit: 1_000,
        ..ClusterPlan::default()
    };
    let cluster = start_cluster(plan).await;
    let entry = cluster.http("entry-1");
    let prompts = prompts(200);
    let asked = prompts.iter().cloned();
    let asked = asked.map(|prompt| tokio::spawn(async move { ask(entry, &prompt, 60).await }));
    let asked: Vec<_> = asked.collect();
    let expected_answers = expected_answers(&cluster, &prompts, 60).await;
    for (answer, expected_answer) in asked.into_iter().zip(expected_answers) {
        let answer = answer.await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert!(!answer.broken);
        assert_eq!(answer.body, expected_answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn agent_killed_in_mid_stream() {
    // An agent is killed with streams open, which makes its target unreachable.
    // The streams continue at another target after the events already delivered.
    let plan = ClusterPlan {
        entries: 1,
        engines: 3,
        services: 1,
        step_ms: 5,
        ..ClusterPlan::default()
    };
    let mut cluster = start_cluster(plan).await;
    let entry = cluster.http("entry-1");
    let mut streams = Vec::new();
    let mut received = Vec::new();
    let prompts = prompts(12);
    for prompt in &prompts {
        streams.push(open(entry, prompt).await);
    }
    for stream in &mut streams {
        received.push(read_at_least(stream, 2_000).await);
    }
    cluster.kill("advisor-02").await;
    let expected_answers = expected_answers(&cluster, &prompts, TOKENS).await;
    for ((stream, received), expected_answer) in
        streams.into_iter().zip(received).zip(expected_answers)
    {
        assert_eq!(read_to_end(stream, received).await, expected_answer.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_ends_early() {
    // The only engine ends each stream after a few events as if it were complete.
    // The caller must see a broken stream, never a truncated one that ends
    // properly.
    let plan = ClusterPlan {
        entries: 1,
        engines: 1,
        services: 1,
        ..ClusterPlan::default()
    };
    let cluster = start_cluster(plan).await;
    let entry = cluster.http("entry-1");
    cluster.fault("advisor-01", "end-early", "5").await;
    let answer = ask(entry, "short", 60).await;
    let ended_properly = answer.text().ends_with("data: [DONE]\n\n");
    assert!(!ended_properly && (answer.broken || answer.status != 200));
    cluster.fault("advisor-01", "clear", "").await;
    let complete = until("streams are complete again", || async {
        let answer = ask(entry, "short", 60).await;
        (answer.status == 200 && !answer.broken).then_some(answer)
    })
    .await;
    assert_eq!(
        complete.body,
        expected_answer(&cluster, "short", 60).await.body
    );
}
