//! Calls and replies over one link on loopback, by how many wait at once; and what
//! links cost that carry nothing but heartbeats. Prints two Markdown tables.
//!
//! `cargo bench -p lovageramp-wire --bench link`

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use wire::proto::FetchNotes;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, LinkSettings, Role};

const SPAN: Duration = Duration::from_secs(2);
/// Ticks of a process's time a second, as the kernel reports them.
const TICKS: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE: usize = 4096;
const IDLE: Duration = Duration::from_secs(10);
const WITHIN: Duration = Duration::from_secs(20);

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(measure());
    runtime.block_on(idle());
}

/// Both ends of all links are in this process: one end costs half of what is printed.
async fn idle() {
    println!();
    println!("| idle links, both ends | % of a core | bytes of memory a link |");
    println!("|---|---|---|");
    let key = ClusterKey::from_bytes(b"a key of the cluster").unwrap();
    let cfg = LinkSettings::default();
    let mut held = Vec::new();
    let empty = resident();
    for links in [150, 300, 600, 1200] {
        let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        while held.len() < links * 2 {
            let entry = Identity::new(Role::Entry, "entry", 2);
            let agent = Identity::new(Role::Agent, "agent", 1);
            let accepting = async {
                let (stream, _) = listener.accept().await.unwrap();
                wire::accept(stream, &agent, &key, &cfg).await.unwrap()
            };
            let dialling = async { wire::dial(address, &entry, &key, &cfg).await.unwrap() };
            let (one, other) = tokio::join!(accepting, dialling);
            held.extend([one, other]);
        }
        let before = cpu();
        tokio::time::sleep(IDLE).await;
        let used = (cpu() - before) / IDLE.as_secs_f64() * 100.0;
        let memory = (resident() - empty) / links;
        println!("| {links} | {used:.2} | {memory} |");
    }
}

/// Seconds of processor time that this process has used.
fn cpu() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks = |field: usize| fields[field].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS
}

/// Bytes that this process holds in memory.
fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = statm.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * PAGE
}

async fn measure() {
    let key = ClusterKey::from_bytes(b"a key of the cluster").unwrap();
    let cfg = LinkSettings::default();
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .unwrap();
    let address = listener.local_addr().unwrap();
    let echo_key = key.clone();
    tokio::spawn(async move {
        let me = Identity::new(Role::Agent, "agent", 1);
        let (stream, _) = listener.accept().await.unwrap();
        let cfg = LinkSettings::default();
        let (link, mut rx) = wire::accept(stream, &me, &echo_key, &cfg).await.unwrap();
        while let Some(incoming) = rx.recv().await {
            let _ = link.reply(incoming.call, incoming.body).await;
        }
    });
    let me = Identity::new(Role::Entry, "entry", 2);
    let (link, _rx) = wire::dial(address, &me, &key, &cfg).await.unwrap();
    println!("| calls at once | calls/s |");
    println!("|---|---|");
    for at_once in [1, 8, 64, 512] {
        let end = Instant::now() + SPAN;
        let callers = (0..at_once).map(|_| {
            let link = link.clone();
            tokio::spawn(async move {
                let mut count = 0_u32;
                while Instant::now() < end {
                    let body = Body::FetchNotes(FetchNotes { after: 1 });
                    link.call(body, WITHIN).await.unwrap();
                    count += 1;
                }
                f64::from(count)
            })
        });
        let mut total = 0.0;
        for caller in callers.collect::<Vec<_>>() {
            total += caller.await.unwrap();
        }
        println!("| {at_once} | {:.0} |", total / SPAN.as_secs_f64());
    }
}
