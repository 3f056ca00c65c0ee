//! What following control costs the leader and a node, by the number of nodes: the
//! slopes of docs/CAPACITY.md. Three real control processes; the nodes are followers in
//! this process, with one relay before each control that counts bytes, and one before
//! each that passes on the renewals of others. Prints a Markdown table.
//!
//! `cargo bench -p lovageramp --bench capacity`, or for some of the rows only
//! `cargo bench -p lovageramp --bench capacity -- relayed 400 1020`

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "the counts and times of a bench are far below 2^52"
)]

#[path = "../tests/processes/support/mod.rs"]
mod support;

use node::{Follower, FollowerSettings};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Cluster, ClusterPlan, Relay, account_item, get, until};
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};
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

/// How renewals get to the leader.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Path {
    /// Straight, as in zones that are small.
    Straight,
    /// Through nodes that pass them on, in zones that are large.
    Relayed,
}

async fn measure() {
    println!(
        "| renewals | nodes | leader, % of a core | leader, MB, most so far | bytes/s a node over control's links | bytes/s of the busiest relay, most | renewals/s | messages/s they came in | accepted to in force at all, s: median of {NOTES} | worst |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let asked: Vec<String> = std::env::args().skip(1).collect();
    let asked = |row: &str| asked.iter().any(|asked| asked == row);
    let sizes: Vec<usize> = SIZES
        .into_iter()
        .filter(|n| asked(&n.to_string()))
        .collect();
    let sizes = if sizes.is_empty() {
        SIZES.to_vec()
    } else {
        sizes
    };
    let paths = [(Path::Straight, "straight"), (Path::Relayed, "relayed")];
    let any = paths.iter().any(|(_, name)| asked(name));
    for (path, name) in paths {
        if asked(name) || !any {
            measure_path(path, name, &sizes).await;
        }
    }
}

async fn measure_path(path: Path, name: &str, sizes: &[usize]) {
    let cluster = Cluster::start(ClusterPlan {
        controls: 3,
        entries: 1,
        engines: 1,
        services: 1,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    let leader = cluster.leader().await;
    let mut number = 1;
    for &size in sizes {
        let relays = relays(&cluster).await;
        let nodes = follow(path, size, &relays, &format!("size{size}")).await;
        let followers: Vec<Follower> = nodes.iter().map(|node| node.follower.clone()).collect();
        until_all(&followers, number).await;
        // Long enough for links to control that are no longer used to be closed.
        tokio::time::sleep(RENEW * 12).await;
        let busy = |nodes: &[Node]| -> Vec<u64> { nodes.iter().map(Node::bytes).collect() };
        let counted = renewals(&cluster, &leader).await;
        let before = (
            cluster.processes[&leader].cpu_seconds(),
            bytes(&relays),
            busy(&nodes),
        );
        tokio::time::sleep(SPAN).await;
        let used =
            (cluster.processes[&leader].cpu_seconds() - before.0) / SPAN.as_secs_f64() * 100.0;
        let sent = (bytes(&relays) - before.1) as f64 / SPAN.as_secs_f64() / size as f64;
        let passed = busy(&nodes).into_iter().zip(before.2);
        let passed = passed.map(|(after, before)| after - before).max();
        let passed = passed.unwrap_or(0) as f64 / SPAN.as_secs_f64();
        let memory = cluster.processes[&leader].resident_bytes() as f64 / f64::from(1 << 20);
        let now = renewals(&cluster, &leader).await;
        let rate = |after: f64, before: f64| (after - before) / SPAN.as_secs_f64();
        let (renewed, messages) = (rate(now.0, counted.0), rate(now.1, counted.1));
        let mut times = Vec::new();
        for _ in 0..NOTES {
            number += 1;
            times.push(in_force(&cluster, &followers, number).await);
        }
        times.sort_by(f64::total_cmp);
        println!(
            "| {name} | {size} | {used:.2} | {memory:.1} | {sent:.0} | {passed:.0} | {renewed:.0} | {messages:.0} | {:.2} | {:.2} |",
            times[times.len() / 2],
            times[times.len() - 1]
        );
        drop(followers);
        drop(nodes);
    }
}

/// Renewals that the leader has answered, and the messages that they came in.
async fn renewals(cluster: &Cluster, leader: &str) -> (f64, f64) {
    let text = get(cluster.http(leader), "/metrics", &[])
        .await
        .unwrap()
        .text();
    let value = |name: &str| -> f64 {
        let prefix = format!("lovageramp_control_{name}_total ");
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix(&prefix));
        value.unwrap().parse().unwrap()
    };
    (value("renewals"), value("renewal_messages"))
}

async fn relays(cluster: &Cluster) -> Vec<Relay> {
    let mut relays = Vec::new();
    for control in 1..=3 {
        let relay = Relay::start().await.unwrap();
        relay.set_target(
            cluster.processes[&format!("control-{control}")]
                .links
                .unwrap(),
        );
        relays.push(relay);
    }
    relays
}

/// A node, and where others reach it.
struct Node {
    follower: Follower,
    relay: Option<Relay>,
    _stop: DropGuard,
}

impl Node {
    /// Bytes that others have exchanged with it.
    fn bytes(&self) -> u64 {
        self.relay.as_ref().map_or(0, Relay::bytes)
    }
}

async fn follow(path: Path, size: usize, relays: &[Relay], prefix: &str) -> Vec<Node> {
    let controls: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
    let mut nodes = Vec::new();
    for number in 0..size {
        let name = format!("{prefix}-{number}");
        nodes.push(start_node(path, number, name, controls.clone()).await);
    }
    nodes
}

async fn start_node(path: Path, number: usize, name: String, controls: Vec<SocketAddr>) -> Node {
    let agent = number % 10 < AGENTS_OF_TEN;
    let role = if agent { Role::Agent } else { Role::Entry };
    let me = Identity::new(role, name.clone(), number as u64 + 1);
    let accepts = agent && path == Path::Relayed;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = if accepts {
        let relay = Relay::start().await.unwrap();
        relay.set_target(listener.local_addr().unwrap());
        Some(relay)
    } else {
        None
    };
    let target = agent.then(|| Announcement {
        target: name.clone(),
        group: "blank-advisor".to_owned(),
        ranks: (0..8).collect(),
        models: vec!["burl-notes".to_owned()],
        healthy: true,
        ..Announcement::default()
    });
    let address = relay.as_ref().map(|relay| relay.address.to_string());
    let info = NodeInfo {
        role: role.into(),
        incarnation: me.incarnation,
        name,
        zone: format!("zone-{}", number % 6),
        link_address: address.unwrap_or_default(),
        caller_address: "127.0.0.1:9".to_owned(),
        leaving: false,
        target,
    };
    let cfg = FollowerSettings {
        controls,
        renew_interval: RENEW,
        key: key(),
        link: LinkSettings::default(),
    };
    let follower = Follower::spawn(me.clone(), info, cfg);
    let stop = CancellationToken::new();
    if accepts {
        let accepting = accept(listener, me, follower.clone(), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
    }
    Node {
        follower,
        relay,
        _stop: stop.drop_guard(),
    }
}

/// Passes on the renewals of other nodes, as an agent does.
async fn accept(listener: TcpListener, me: Identity, follower: Follower, stop: CancellationToken) {
    while let Ok((stream, _)) = listener.accept().await {
        let (me, follower) = (me.clone(), follower.clone());
        let serving = async move {
            let accepted = wire::accept(stream, &me, &key(), &LinkSettings::default()).await;
            let Ok((_link, mut rx)) = accepted else {
                return;
            };
            while let Some(incoming) = rx.recv().await {
                follower.relay(incoming);
            }
        };
        tokio::spawn(stop.clone().run_until_cancelled_owned(serving));
    }
}

fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"key of the test cluster").unwrap()
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
