//! What the path through entry and agent costs, against the stand-ins called directly,
//! in the same run. Prints a Markdown table.
//!
//! `cargo bench -p lovageramp --bench path`

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "the counts and times of a bench are far below 2^52"
)]

#[path = "../tests/processes/support/mod.rs"]
mod support;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Cluster, ClusterPlan, account_item, bearer};
use tokio::net::TcpStream;

const WARM_UP: usize = 200;
const REQUESTS: usize = 2_000;
const CONNECTIONS: usize = 64;
const SPAN: Duration = Duration::from_secs(4);
const STREAMS: usize = 100;
const TOKENS: usize = 2_000;
/// Fewer than an agent runs at once: those beyond would wait at the entry, without a stream.
const HELD: usize = 240;

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(measure());
}

async fn measure() {
    let cluster = Cluster::start(ClusterPlan {
        controls: 1,
        entries: 1,
        engines: 1,
        services: 1,
        step_ms: 0,
        limit: 1_000,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    lift_limits(&cluster).await;
    let entry = cluster.http("entry-1");
    // The stand-ins are called through the same relay as by their agents, so that its
    // cost is on both sides; the relay between entry and agent counts as ours.
    let service = cluster.relays["fake-desk-01"].address;
    let engine = cluster.relays["fake-advisor-01"].address;
    println!("| what | direct | through lovageramp | ratio |");
    println!("|---|---|---|---|");
    latency(service, entry).await;
    // Before the load, whose leavings the allocator would use again.
    memory(&cluster).await;
    rate(&cluster, service, entry).await;
    frames(&cluster, engine, entry).await;
}

/// Gives the bench's account a rate that it can't use up: else the account's limit would
/// be measured.
async fn lift_limits(cluster: &Cluster) {
    let mut account = account_item("huber");
    account["requests_per_s"] = json!(1_000_000);
    account["tokens_per_s"] = json!(100_000_000);
    let note = json!({"number": 2, "changed": [account]});
    let answer = cluster
        .operator("entry-1", "POST", "/v1/operator/notes", &note)
        .await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    cluster.until_in_force("entry-1", 2).await;
}

struct Caller {
    sender: SendRequest<Full<Bytes>>,
}

impl Caller {
    async fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        let (sender, conn) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        tokio::spawn(conn);
        Caller { sender }
    }

    /// Sends a request and reads its whole answer; its length.
    async fn call(&mut self, method: &str, path: &str, body: String) -> usize {
        let req = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "bench")
            .header("authorization", bearer("huber"))
            .body(Full::new(Bytes::from(body)))
            .unwrap();
        self.sender.ready().await.unwrap();
        let res = self.sender.send_request(req).await.unwrap();
        assert_eq!(res.status(), 200);
        let mut length = 0;
        let mut body = res.into_body();
        while let Some(frame) = body.frame().await {
            length += frame.unwrap().into_data().map_or(0, |data| data.len());
        }
        length
    }
}

async fn latency(direct: SocketAddr, through: SocketAddr) {
    let mut near = Caller::connect(direct).await;
    let mut far = Caller::connect(through).await;
    let mut times = [
        Histogram::<u64>::new(3).unwrap(),
        Histogram::<u64>::new(3).unwrap(),
    ];
    // In turns, so that both see the same machine.
    for round in 0..WARM_UP + REQUESTS {
        for (place, (caller, path)) in [(&mut near, "/stock"), (&mut far, "/s/order-desk/stock")]
            .into_iter()
            .enumerate()
        {
            let began = Instant::now();
            caller.call("GET", path, String::new()).await;
            if round >= WARM_UP {
                times[place]
                    .record(began.elapsed().as_nanos() as u64)
                    .unwrap();
            }
        }
    }
    for quantile in [0.5, 0.99] {
        let [near, far] = [0, 1].map(|n| times[n].value_at_quantile(quantile) as f64 / 1e6);
        println!(
            "| p{} of one call after the other, ms | {near:.3} | {far:.3} | {:.3} ms added |",
            quantile * 100.0,
            far - near
        );
    }
}

async fn rate(cluster: &Cluster, direct: SocketAddr, through: SocketAddr) {
    let near = calls_per_second(direct, "/stock", Kept::Yes).await;
    let names = ["entry-1", "desk-01"];
    let before = names.map(|name| cluster.processes[name].cpu_seconds());
    let far = calls_per_second(through, "/s/order-desk/stock", Kept::Yes).await;
    let after = names.map(|name| cluster.processes[name].cpu_seconds());
    let fresh = calls_per_second(direct, "/stock", Kept::No).await;
    println!(
        "| calls/s over {CONNECTIONS} connections | {near:.0} | {far:.0} | {:.2} |",
        far / near
    );
    for (place, name) in ["entry", "agent"].into_iter().enumerate() {
        let micros = (after[place] - before[place]) / (far * SPAN.as_secs_f64()) * 1e6;
        println!("| processor time of the {name} for each call, us | | {micros:.1} | |");
    }
    println!(
        "| calls/s, a fresh connection for each call | {fresh:.0} | | {:.2} |",
        fresh / near
    );
}

/// Whether a caller keeps its connection between two calls.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Kept {
    Yes,
    No,
}

async fn calls_per_second(address: SocketAddr, path: &'static str, kept: Kept) -> f64 {
    // Each connection takes a port for a minute after its end, and there are only so many.
    let span = match kept {
        Kept::Yes => SPAN,
        Kept::No => SPAN / 4,
    };
    let end = Instant::now() + span;
    let callers = (0..CONNECTIONS).map(|_| {
        tokio::spawn(async move {
            let mut caller = Caller::connect(address).await;
            let mut count = 0_u32;
            while Instant::now() < end {
                if kept == Kept::No {
                    caller = Caller::connect(address).await;
                }
                caller.call("GET", path, String::new()).await;
                count += 1;
            }
            f64::from(count)
        })
    });
    let mut total = 0.0;
    for caller in callers.collect::<Vec<_>>() {
        total += caller.await.unwrap();
    }
    total / span.as_secs_f64()
}

fn chat(tokens: usize, prompt: usize) -> String {
    json!({"model": "burl-notes", "stream": true, "max_tokens": tokens,
           "messages": [{"role": "user", "content": format!("note {prompt}")}]})
    .to_string()
}

async fn frames(cluster: &Cluster, engine: SocketAddr, entry: SocketAddr) {
    let near = frames_per_second(engine).await;
    let before = cluster.processes["entry-1"].cpu_seconds();
    let agent_before = cluster.processes["advisor-01"].cpu_seconds();
    let far = frames_per_second(entry).await;
    let used = cluster.processes["entry-1"].cpu_seconds() - before;
    let agent_used = cluster.processes["advisor-01"].cpu_seconds() - agent_before;
    let count = (STREAMS * (TOKENS + 2)) as f64;
    println!(
        "| stream frames/s, {STREAMS} streams | {near:.0} | {far:.0} | {:.2} |",
        far / near
    );
    println!(
        "| frames for each second of the entry's processor time | | {:.0} | |",
        count / used
    );
    println!(
        "| frames for each second of the agent's processor time | | {:.0} | |",
        count / agent_used
    );
}

async fn frames_per_second(address: SocketAddr) -> f64 {
    let began = Instant::now();
    let callers = (0..STREAMS).map(|prompt| {
        tokio::spawn(async move {
            let mut caller = Caller::connect(address).await;
            caller
                .call("POST", "/v1/chat/completions", chat(TOKENS, prompt))
                .await
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        assert!(caller.await.unwrap() > TOKENS);
    }
    (STREAMS * (TOKENS + 2)) as f64 / began.elapsed().as_secs_f64()
}

async fn memory(cluster: &Cluster) {
    cluster.fault("advisor-01", "stall", "").await;
    let entry = cluster.http("entry-1");
    let before = ["entry-1", "advisor-01"].map(|name| cluster.processes[name].resident_bytes());
    let mut streams = Vec::new();
    for prompt in 0..HELD {
        streams.push(tokio::spawn(async move {
            let mut caller = Caller::connect(entry).await;
            caller
                .call("POST", "/v1/chat/completions", chat(8, prompt))
                .await
        }));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = ["entry-1", "advisor-01"].map(|name| cluster.processes[name].resident_bytes());
    for (place, name) in ["entry", "agent"].into_iter().enumerate() {
        let each = after[place].saturating_sub(before[place]) / HELD as u64;
        println!("| bytes of the {name} for each open stream, {HELD} open | | {each} | |");
    }
    cluster.fault("advisor-01", "clear", "").await;
    for stream in streams {
        stream.abort();
    }
}
