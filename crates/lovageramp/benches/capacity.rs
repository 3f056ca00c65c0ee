//! What following control costs the leader and a node, by the number of nodes: the
//! slopes of docs/CAPACITY.md. Three real control processes; the nodes are followers in
//! this process, with one relay before each control that counts bytes. Prints a
//! Markdown table.
//!
//! `cargo bench -p lovageramp --bench capacity`

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "the counts and times of a bench are far below 2^52"
)]

#[path = "../tests/support/mod.rs"]
mod support;

use node::{Follower, FollowerSettings};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Cluster, ClusterPlan, Relay, account_item, until};
use wire::proto::{Announcement, NodeInfo};
use wire::{ClusterKey, Identity, LinkSettings, Role};

const SIZES: [usize; 4] = [25, 100, 400, 1020];
/// Of each ten nodes, this many are agents: 600 servers behind 420 nodes.
const AGENTS_OF_TEN: usize = 6;
const SPAN: Duration = Duration::from_secs(10);
const RENEW: Duration = Duration::from_secs(1);
const NOTES: u64 = 5;

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(measure());
}

async fn measure() {
    let cluster = Cluster::start(ClusterPlan {
        controls: 3,
        entries: 1,
        engines: 1,
        services: 1,
        ..ClusterPlan::default()
    })
    .await;
    cluster.offer().await;
    let leader = cluster.leader().await;
    println!(
        "| nodes | leader, % of a core | leader, MB | bytes/s a node | accepted to in force at all, s: median of {NOTES} | worst |"
    );
    println!("|---|---|---|---|---|---|");
    let mut number = 1;
    for size in SIZES {
        let relays = relays(&cluster).await;
        let followers = follow(size, &relays, &format!("size{size}"));
        until_all(&followers, number).await;
        tokio::time::sleep(RENEW * 4).await;
        let before = (cluster.processes[&leader].cpu_seconds(), bytes(&relays));
        tokio::time::sleep(SPAN).await;
        let used =
            (cluster.processes[&leader].cpu_seconds() - before.0) / SPAN.as_secs_f64() * 100.0;
        let sent = (bytes(&relays) - before.1) as f64 / SPAN.as_secs_f64() / size as f64;
        let memory = cluster.processes[&leader].resident_bytes() as f64 / f64::from(1 << 20);
        let mut times = Vec::new();
        for _ in 0..NOTES {
            number += 1;
            times.push(in_force(&cluster, &followers, number).await);
        }
        times.sort_by(f64::total_cmp);
        println!(
            "| {size} | {used:.2} | {memory:.1} | {sent:.0} | {:.2} | {:.2} |",
            times[times.len() / 2],
            times[times.len() - 1]
        );
        drop(followers);
    }
}

async fn relays(cluster: &Cluster) -> Vec<Relay> {
    let mut relays = Vec::new();
    for control in 1..=3 {
        let relay = Relay::start().await;
        relay.set_target(
            cluster.processes[&format!("control-{control}")]
                .links
                .unwrap(),
        );
        relays.push(relay);
    }
    relays
}

fn follow(size: usize, relays: &[Relay], prefix: &str) -> Vec<Follower> {
    let controls: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
    (0..size)
        .map(|number| {
            let name = format!("{prefix}-{number}");
            let agent = number % 10 < AGENTS_OF_TEN;
            let role = if agent { Role::Agent } else { Role::Entry };
            let me = Identity::new(role, name.clone(), number as u64 + 1);
            let target = agent.then(|| Announcement {
                target: name.clone(),
                group: "blank-advisor".to_owned(),
                ranks: (0..8).collect(),
                models: vec!["burl-notes".to_owned()],
                healthy: true,
                ..Announcement::default()
            });
            let info = NodeInfo {
                role: role.into(),
                incarnation: me.incarnation,
                name,
                zone: format!("zone-{}", number % 6),
                link_address: "127.0.0.1:9".to_owned(),
                caller_address: "127.0.0.1:9".to_owned(),
                leaving: false,
                target,
            };
            let cfg = FollowerSettings {
                controls: controls.clone(),
                renew: RENEW,
                key: ClusterKey::from_bytes(b"key of the test cluster").unwrap(),
                link: LinkSettings::default(),
            };
            Follower::spawn(me, info, cfg)
        })
        .collect()
}

async fn until_all(followers: &[Follower], number: u64) {
    until("all followers have the note", || async {
        let all = followers
            .iter()
            .all(|follower| follower.catalogue().number() >= number);
        all.then_some(())
    })
    .await;
}

async fn in_force(cluster: &Cluster, followers: &[Follower], number: u64) -> f64 {
    let note = json!({"number": number, "added": [account_item(&format!("account-{number}"))]});
    let answer = cluster
        .operator("entry-1", "POST", "/v1/operator/notes", &note)
        .await;
    assert!(answer.status < 300, "{}", answer.text());
    let accepted = Instant::now();
    until_all(followers, number).await;
    accepted.elapsed().as_secs_f64()
}

fn bytes(relays: &[Relay]) -> u64 {
    relays.iter().map(Relay::bytes).sum()
}
