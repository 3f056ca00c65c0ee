//! Memory per open stream and event rate of one agent.
//!
//! Only the agent runs in this process. Engine, control and entry run in a second
//! process, which is started from the same executable.

#[path = "../tests/support/mod.rs"]
mod support;

use std::io::{BufRead, BufReader, Write};
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::time::Duration;

use agent::{Agent, Listeners, Settings};
use fake::{Engine, EngineSettings, Fault};
use serde_json::json;
use support::{FakeControl, TestEntry, id, wait_until};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use wire::proto::Start;

const OPEN_STREAMS: [u128; 4] = [250, 500, 1_000, 2_000];
const STREAMS: u128 = 64;
const TOKENS_PER_STREAM: u64 = 10_000;
const START_BATCH: u128 = 50;

fn main() {
    let mut args = std::env::args();
    if args.any(|arg| arg == "peer") {
        Runtime::new().unwrap().block_on(peer());
        return;
    }
    let mut peer = Peer::start();
    let runtime = Runtime::new().unwrap();
    let folder = tempfile::tempdir().unwrap();
    let agent = runtime.block_on(start_agent(&mut peer, folder.path()));
    peer.tell(&format!("{} {}", agent.link_address(), agent.incarnation()));

    println!("open streams, held by the engine | resident KiB | KiB for each");
    let before = resident_kib();
    for open in OPEN_STREAMS {
        peer.ask(&format!("open {open}"));
        let more = resident_kib().saturating_sub(before);
        let each = f64::from(more) / as_f64(open);
        println!("{open:5} | {more:7} | {each:.1}");
    }
    peer.ask("close");

    let (cpu, frames) = (cpu_seconds(), peer.ask("stream"));
    let used = cpu_seconds() - cpu;
    let mut figures = frames.split(' ');
    let frames: f64 = figures.next().unwrap().parse().unwrap();
    let seconds: f64 = figures.next().unwrap().parse().unwrap();
    println!("{STREAMS} streams of {TOKENS_PER_STREAM} tokens, as fast as they go:");
    println!("  {:.0} events/s in {seconds:.2} s", frames / seconds);
    println!(
        "  {:.0} events for each second of one core of the agent",
        frames / used
    );
    peer.tell("end");
    let _ = peer.child.wait();
}

/// The second process, as seen from the agent's process.
struct Peer {
    child: Child,
    tx: ChildStdin,
    rx: BufReader<ChildStdout>,
}

impl Peer {
    fn start() -> Self {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .arg("peer")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        Peer {
            tx: child.stdin.take().unwrap(),
            rx: BufReader::new(child.stdout.take().unwrap()),
            child,
        }
    }

    fn tell(&mut self, line: &str) {
        writeln!(self.tx, "{line}").unwrap();
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.rx.read_line(&mut line).unwrap();
        line.trim().to_owned()
    }

    fn ask(&mut self, line: &str) -> String {
        self.tell(line);
        self.line()
    }
}

async fn start_agent(peer: &mut Peer, folder: &std::path::Path) -> Agent {
    let addresses = peer.line();
    let (control, engine) = addresses.split_once(' ').unwrap();
    let key_file = folder.join("cluster.key");
    std::fs::write(&key_file, b"a cluster key for tests").unwrap();
    let settings = json!({
        "name": "advisor-01", "zone": "franken",
        "listen": "127.0.0.1:0", "http": "127.0.0.1:0",
        "controls": [control], "cluster_key_file": key_file,
        "group": support::GROUP, "engine": {"address": engine},
        "limits": {"concurrent": 10_000},
        "timing": {"progress_ms": 600_000},
    });
    let settings = Settings::from_slice(settings.to_string().as_bytes()).unwrap();
    let listeners = Listeners {
        links: TcpListener::bind(settings.listen).await.unwrap(),
        http: TcpListener::bind(settings.http).await.unwrap(),
    };
    let agent = Agent::start(settings, listeners).await.unwrap();
    wait_until("the agent is ready", async || {
        let page = support::page(agent.http_address(), "/readyz").await;
        page.starts_with("HTTP/1.1 200")
    })
    .await;
    agent
}

async fn peer() {
    let control = FakeControl::start().await;
    let cfg = EngineSettings {
        step_time: Duration::ZERO,
        max_running: 10_000,
        ..EngineSettings::default()
    };
    let engine = Engine::start(cfg).await.unwrap();
    println!("{} {}", control.address(), engine.address());
    let mut lines = std::io::stdin().lines();
    let told = lines.next().unwrap().unwrap();
    let (address, number) = told.split_once(' ').unwrap();
    let address = address.parse().unwrap();
    let incarnation = number.parse().unwrap();
    let entry = TestEntry::dial(address).await;
    let mut opened = 0;
    while let Some(Ok(line)) = lines.next() {
        match line.split_once(' ') {
            Some(("open", count)) => {
                engine.inject_fault(Fault::Stall);
                let count: u128 = count.parse().unwrap();
                for attempt in opened..count {
                    entry
                        .start_accepted(chat(incarnation, attempt, TOKENS_PER_STREAM))
                        .await;
                    // More connections at once than fit into the engine's listen
                    // queue would be refused.
                    if attempt % START_BATCH == 0 {
                        wait_running(&engine, attempt + 1).await;
                    }
                }
                opened = count;
                wait_running(&engine, count).await;
                println!("open");
            }
            None if line == "close" => {
                for attempt in 0..opened {
                    entry.cancel(&id(attempt)).await;
                }
                wait_until("all ended", async || all_ended(&entry, opened)).await;
                engine.clear_faults();
                wait_until("none runs", async || engine.running_requests() == 0).await;
                println!("closed");
            }
            None if line == "stream" => println!("{}", stream(&entry, incarnation).await),
            _ => return,
        }
    }
}

async fn wait_running(engine: &Engine, count: u128) {
    wait_until("all run", async || {
        u128::from(engine.running_requests()) == count
    })
    .await;
}

fn all_ended(entry: &TestEntry, opened: u128) -> bool {
    (0..opened).all(|attempt| entry.with_answer(&id(attempt), |answer| answer.end.is_some()))
}

/// Runs all streams at once and returns the number of events and the seconds.
async fn stream(entry: &TestEntry, incarnation: u64) -> String {
    let began = std::time::Instant::now();
    let attempts = (1 << 32)..(1 << 32) + STREAMS;
    for attempt in attempts.clone() {
        entry
            .start_accepted(chat(incarnation, attempt, TOKENS_PER_STREAM))
            .await;
    }
    for attempt in attempts {
        entry.wait_complete(&id(attempt)).await;
    }
    let events = STREAMS * u128::from(TOKENS_PER_STREAM + 2);
    format!("{events} {}", began.elapsed().as_secs_f64())
}

fn chat(incarnation: u64, attempt: u128, tokens: u64) -> Start {
    let body = json!({"model": "burl-notes", "stream": true, "max_tokens": tokens});
    Start {
        attempt: id(attempt),
        request: format!("request-{attempt}").into(),
        incarnation,
        note: 1,
        group: support::GROUP.into(),
        model: "burl-notes".into(),
        deadline_ms: 300_000,
        body: body.to_string().into(),
        fingerprint: vec![7; 32].into(),
        ..Start::default()
    }
}

fn as_f64(count: u128) -> f64 {
    f64::from(u32::try_from(count).unwrap())
}

fn resident_kib() -> u32 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.unwrap().split_whitespace().nth(1).unwrap();
    kib.parse().unwrap()
}

/// User and kernel CPU time of this process so far, in seconds.
fn cpu_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks = |at: usize| fields[at].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}
