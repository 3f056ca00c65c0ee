//! Calls and replies over one link on loopback, by how many wait at once.
//!
//! `cargo bench -p lovageramp-wire --bench link`

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};
use wire::proto::FetchNotes;
use wire::proto::frame::Body;
use wire::{ClusterKey, Identity, LinkSettings, Role};

const SPAN: Duration = Duration::from_secs(2);
const WITHIN: Duration = Duration::from_secs(20);

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(measure());
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
