//! Measures the overhead of the path through entry and agent, compared with direct calls
//! to the fake targets in the same run. Prints a Markdown table.
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

const WARM_UP_CALLS: usize = 200;
const LATENCY_CALLS: usize = 2_000;
const CONNECTIONS: usize = 64;
const LOAD_DURATION: Duration = Duration::from_secs(4);
const STREAMS: usize = 100;
const TOKENS: usize = 2_000;
/// Streams held open to measure memory. Below the concurrency limit of an agent, because
/// further requests would wait at the entry without a stream.
const OPEN_STREAMS: usize = 240;

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
    // The direct calls use the same relay as the agents, so that its overhead is on both
    // sides. The relay between entry and agent counts as overhead of lovageramp.
    let service = cluster.relays["fake-desk-01"].address;
    let engine = cluster.relays["fake-advisor-01"].address;
    println!("| what | direct | through lovageramp | ratio |");
    println!("|---|---|---|---|");
    measure_latency(service, entry).await;
    // Measured before the load, because the allocator would reuse memory freed by it.
    measure_memory(&cluster).await;
    measure_call_rate(&cluster, service, entry).await;
    measure_frame_rate(&cluster, engine, entry).await;
}

/// Raises the rate limits of the account, so that they do not limit the measurement.
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

    /// Sends a request, reads the whole response and returns the length of its body.
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

async fn measure_latency(direct: SocketAddr, through: SocketAddr) {
    let mut direct = Caller::connect(direct).await;
    let mut through = Caller::connect(through).await;
    let mut times = [
        Histogram::<u64>::new(3).unwrap(),
        Histogram::<u64>::new(3).unwrap(),
    ];
    // Alternates between both, so that they run under the same conditions.
    for round in 0..WARM_UP_CALLS + LATENCY_CALLS {
        for (index, (caller, path)) in [
            (&mut direct, "/stock"),
            (&mut through, "/s/order-desk/stock"),
        ]
        .into_iter()
        .enumerate()
        {
            let began = Instant::now();
            caller.call("GET", path, String::new()).await;
            if round >= WARM_UP_CALLS {
                times[index]
                    .record(began.elapsed().as_nanos() as u64)
                    .unwrap();
            }
        }
    }
    for quantile in [0.5, 0.99] {
        let [direct, through] = [0, 1].map(|n| times[n].value_at_quantile(quantile) as f64 / 1e6);
        println!(
            "| p{} of one call after the other, ms | {direct:.3} | {through:.3} | {:.3} ms added |",
            quantile * 100.0,
            through - direct
        );
    }
}

async fn measure_call_rate(cluster: &Cluster, direct: SocketAddr, through: SocketAddr) {
    let direct_rate = calls_per_second(direct, "/stock", KeepAlive::Yes).await;
    let names = ["entry-1", "desk-01"];
    let before = names.map(|name| cluster.processes[name].cpu_seconds());
    let through_rate = calls_per_second(through, "/s/order-desk/stock", KeepAlive::Yes).await;
    let after = names.map(|name| cluster.processes[name].cpu_seconds());
    let reconnecting_rate = calls_per_second(direct, "/stock", KeepAlive::No).await;
    println!(
        "| calls/s over {CONNECTIONS} connections | {direct_rate:.0} | {through_rate:.0} | {:.2} |",
        through_rate / direct_rate
    );
    for (index, name) in ["entry", "agent"].into_iter().enumerate() {
        let micros =
            (after[index] - before[index]) / (through_rate * LOAD_DURATION.as_secs_f64()) * 1e6;
        println!("| processor time of the {name} for each call, us | | {micros:.1} | |");
    }
    println!(
        "| calls/s, a fresh connection for each call | {reconnecting_rate:.0} | | {:.2} |",
        reconnecting_rate / direct_rate
    );
}

/// Whether a caller reuses its connection for the next call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum KeepAlive {
    Yes,
    No,
}

async fn calls_per_second(address: SocketAddr, path: &'static str, keep_alive: KeepAlive) -> f64 {
    // A closed connection occupies its port for a minute (TIME_WAIT), so a shorter run
    // keeps the ports from running out.
    let duration = match keep_alive {
        KeepAlive::Yes => LOAD_DURATION,
        KeepAlive::No => LOAD_DURATION / 4,
    };
    let deadline = Instant::now() + duration;
    let callers = (0..CONNECTIONS).map(|_| {
        tokio::spawn(async move {
            let mut caller = Caller::connect(address).await;
            let mut count = 0_u32;
            while Instant::now() < deadline {
                if keep_alive == KeepAlive::No {
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
    total / duration.as_secs_f64()
}

fn chat_body(tokens: usize, prompt: usize) -> String {
    json!({"model": "burl-notes", "stream": true, "max_tokens": tokens,
           "messages": [{"role": "user", "content": format!("note {prompt}")}]})
    .to_string()
}

async fn measure_frame_rate(cluster: &Cluster, engine: SocketAddr, entry: SocketAddr) {
    let direct_rate = frames_per_second(engine).await;
    let before = cluster.processes["entry-1"].cpu_seconds();
    let agent_before = cluster.processes["advisor-01"].cpu_seconds();
    let through_rate = frames_per_second(entry).await;
    let used = cluster.processes["entry-1"].cpu_seconds() - before;
    let agent_used = cluster.processes["advisor-01"].cpu_seconds() - agent_before;
    let count = (STREAMS * (TOKENS + 2)) as f64;
    println!(
        "| stream frames/s, {STREAMS} streams | {direct_rate:.0} | {through_rate:.0} | {:.2} |",
        through_rate / direct_rate
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
                .call("POST", "/v1/chat/completions", chat_body(TOKENS, prompt))
                .await
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        assert!(caller.await.unwrap() > TOKENS);
    }
    (STREAMS * (TOKENS + 2)) as f64 / began.elapsed().as_secs_f64()
}

async fn measure_memory(cluster: &Cluster) {
    cluster.fault("advisor-01", "stall", "").await;
    let entry = cluster.http("entry-1");
    let before = ["entry-1", "advisor-01"].map(|name| cluster.processes[name].resident_bytes());
    let mut streams = Vec::new();
    for prompt in 0..OPEN_STREAMS {
        streams.push(tokio::spawn(async move {
            let mut caller = Caller::connect(entry).await;
            caller
                .call("POST", "/v1/chat/completions", chat_body(8, prompt))
                .await
        }));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = ["entry-1", "advisor-01"].map(|name| cluster.processes[name].resident_bytes());
    for (index, name) in ["entry", "agent"].into_iter().enumerate() {
        let each = after[index].saturating_sub(before[index]) / OPEN_STREAMS as u64;
        println!("| bytes of the {name} for each open stream, {OPEN_STREAMS} open | | {each} | |");
    }
    cluster.fault("advisor-01", "clear", "").await;
    for stream in streams {
        stream.abort();
    }
}
