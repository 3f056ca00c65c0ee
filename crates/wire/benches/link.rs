//! Measures the call rate of one link on loopback by the number of concurrent calls, and the
//! cost of idle links, which carry only heartbeats. Prints two Markdown tables.
//!
//! `cargo bench -p lovageramp-wire --bench link`

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use wire::proto::FetchNotes;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, LinkSettings, Role};

/// Duration of one measurement of the call rate.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Clock ticks per second in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: usize = 4096;
/// Duration of one measurement of idle links.
const IDLE_TIME: Duration = Duration::from_secs(10);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(measure_calls());
    runtime.block_on(measure_idle_links());
}

/// Both ends of all links are in this process, so the cost of one end is half of the printed
/// value.
async fn measure_idle_links() {
    println!();
    println!("| idle links, both ends | % of a core | bytes of memory a link |");
    println!("|---|---|---|");
    let key = ClusterKey::from_bytes(b"a key of the cluster").unwrap();
    let cfg = LinkSettings::default();
    let mut open_links = Vec::new();
    let memory_before = resident_bytes();
    for links in [150, 300, 600, 1200] {
        let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        while open_links.len() < links * 2 {
            let entry = Identity::new(Role::Entry, "entry", 2);
            let agent = Identity::new(Role::Agent, "agent", 1);
            let accepting = async {
                let (stream, _) = listener.accept().await.unwrap();
                wire::accept(stream, &agent, &key, &cfg).await.unwrap()
            };
            let dialling = async { wire::dial(address, &entry, &key, &cfg).await.unwrap() };
            let (one, other) = tokio::join!(accepting, dialling);
            open_links.extend([one, other]);
        }
        let cpu_before = cpu_seconds();
        tokio::time::sleep(IDLE_TIME).await;
        let used = (cpu_seconds() - cpu_before) / IDLE_TIME.as_secs_f64() * 100.0;
        let memory = (resident_bytes() - memory_before) / links;
        println!("| {links} | {used:.2} | {memory} |");
    }
}

/// Returns the processor time used by this process, in seconds.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    let ticks = |field: usize| fields[field].parse::<f64>().unwrap();
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = statm.split_whitespace().nth(1).unwrap().parse().unwrap();
    pages * PAGE_BYTES
}

async fn measure_calls() {
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
    for concurrency in [1, 8, 64, 512] {
        let end = Instant::now() + CALL_TIME;
        let callers = (0..concurrency).map(|_| {
            let link = link.clone();
            tokio::spawn(async move {
                let mut count = 0_u32;
                while Instant::now() < end {
                    let body = Body::FetchNotes(FetchNotes { after: 1 });
                    link.call(body, CALL_TIMEOUT).await.unwrap();
                    count += 1;
                }
                f64::from(count)
            })
        });
        let mut total = 0.0;
        for caller in callers.collect::<Vec<_>>() {
            total += caller.await.unwrap();
        }
        println!("| {concurrency} | {:.0} |", total / CALL_TIME.as_secs_f64());
    }
}
