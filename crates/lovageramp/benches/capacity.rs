//! Measures the load on the leader and on a node that follows control, by the number of
//! nodes: the slopes of docs/CAPACITY.md. There are three real control processes; the
//! nodes are followers in this process. A relay in front of each control, and of each
//! node that forwards the renewals of others, counts bytes. Prints a Markdown table.
//!
//! `cargo bench -p lovageramp --bench capacity`, or for selected rows
//! `cargo bench -p lovageramp --bench capacity -- relayed 400 1020`

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "the counts and times of a bench are far below 2^52"
)]

#[path = "../tests/processes/support/mod.rs"]
mod support;

use node::{ControlAddresses, Follower, FollowerSettings};
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Cluster, ClusterPlan, Relay, account_item, get, until};
use tokio::net::TcpListener;
use tokio_util::sync::{CancellationToken, DropGuard};
use wire::proto::{Announcement, NodeInfo};
use wire::{ClusterKey, Identity, LinkSettings, Role};

const NODE_COUNTS: [usize; 4] = [25, 100, 400, 1020];
/// Agents per ten nodes, as with 600 servers behind 420 nodes.
const AGENTS_PER_TEN: usize = 6;
const MEASUREMENT_DURATION: Duration = Duration::from_secs(10);
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
const NOTES: u64 = 5;

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(measure());
}

/// How renewals reach the leader.
#[derive(Clone, Copy, PartialEq, Eq)]
enum RenewalPath {
    /// Directly, as in small zones.
    Direct,
    /// Through nodes that forward them, as in large zones.
    Relayed,
}

async fn measure() {
    println!(
        "| renewals | nodes | leader, % of a core | leader, MB, most so far | bytes/s a node over control's links | bytes/s of the busiest relay, most | renewals/s | messages/s they came in | accepted to in force at all, s: median of {NOTES} | worst |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let is_selected = |row: &str| arguments.iter().any(|argument| argument == row);
    let sizes: Vec<usize> = NODE_COUNTS
        .into_iter()
        .filter(|n| is_selected(&n.to_string()))
        .collect();
    let sizes = if sizes.is_empty() {
        NODE_COUNTS.to_vec()
    } else {
        sizes
    };
    let paths = [
        (RenewalPath::Direct, "straight"),
        (RenewalPath::Relayed, "relayed"),
    ];
    let any_selected = paths.iter().any(|(_, name)| is_selected(name));
    for (path, name) in paths {
        if is_selected(name) || !any_selected {
            measure_path(path, name, &sizes).await;
        }
    }
}

async fn measure_path(path: RenewalPath, name: &str, sizes: &[usize]) {
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
        let nodes = start_nodes(path, size, &relays, &format!("size{size}")).await;
        let followers: Vec<Follower> = nodes.iter().map(|node| node.follower.clone()).collect();
        wait_for_note(&followers, number).await;
        // Links to control that are no longer used are closed within this time.
        tokio::time::sleep(RENEW_INTERVAL * 12).await;
        let bytes_by_node =
            |nodes: &[Node]| -> Vec<u64> { nodes.iter().map(Node::bytes).collect() };
        let renewals_before = renewals(&cluster, &leader).await;
        let before = (
            cluster.processes[&leader].cpu_seconds(),
            bytes(&relays),
            bytes_by_node(&nodes),
        );
        tokio::time::sleep(MEASUREMENT_DURATION).await;
        let used = (cluster.processes[&leader].cpu_seconds() - before.0)
            / MEASUREMENT_DURATION.as_secs_f64()
            * 100.0;
        let sent =
            (bytes(&relays) - before.1) as f64 / MEASUREMENT_DURATION.as_secs_f64() / size as f64;
        let forwarded = bytes_by_node(&nodes).into_iter().zip(before.2);
        let forwarded = forwarded.map(|(after, before)| after - before).max();
        let forwarded = forwarded.unwrap_or(0) as f64 / MEASUREMENT_DURATION.as_secs_f64();
        let memory = cluster.processes[&leader].resident_bytes() as f64 / f64::from(1 << 20);
        let renewals_after = renewals(&cluster, &leader).await;
        let rate = |after: f64, before: f64| (after - before) / MEASUREMENT_DURATION.as_secs_f64();
        let (renewed, messages) = (
            rate(renewals_after.0, renewals_before.0),
            rate(renewals_after.1, renewals_before.1),
        );
        let mut times = Vec::new();
        for _ in 0..NOTES {
            number += 1;
            times.push(time_until_in_force(&cluster, &followers, number).await);
        }
        times.sort_by(f64::total_cmp);
        println!(
            "| {name} | {size} | {used:.2} | {memory:.1} | {sent:.0} | {forwarded:.0} | {renewed:.0} | {messages:.0} | {:.2} | {:.2} |",
            times[times.len() / 2],
            times[times.len() - 1]
        );
        drop(followers);
        drop(nodes);
    }
}

/// Number of renewals that the leader has answered, and of the messages with them.
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

/// A node with its relay, through which other nodes reach it.
struct Node {
    follower: Follower,
    relay: Option<Relay>,
    _stop: DropGuard,
}

impl Node {
    /// Bytes exchanged with other nodes that connect to it.
    fn bytes(&self) -> u64 {
        self.relay.as_ref().map_or(0, Relay::bytes)
    }
}

async fn start_nodes(path: RenewalPath, size: usize, relays: &[Relay], prefix: &str) -> Vec<Node> {
    let controls: Vec<SocketAddr> = relays.iter().map(|relay| relay.address).collect();
    let mut nodes = Vec::new();
    for number in 0..size {
        let name = format!("{prefix}-{number}");
        nodes.push(start_node(path, number, name, controls.clone()).await);
    }
    nodes
}

async fn start_node(
    path: RenewalPath,
    number: usize,
    name: String,
    controls: Vec<SocketAddr>,
) -> Node {
    let is_agent = number % 10 < AGENTS_PER_TEN;
    let role = if is_agent { Role::Agent } else { Role::Entry };
    let me = Identity::new(role, name.clone(), number as u64 + 1);
    let accepts_renewals = is_agent && path == RenewalPath::Relayed;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = if accepts_renewals {
        let relay = Relay::start().await.unwrap();
        relay.set_target(listener.local_addr().unwrap());
        Some(relay)
    } else {
        None
    };
    let target = is_agent.then(|| Announcement {
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
        controls: ControlAddresses::All(controls),
        renew_interval: RENEW_INTERVAL,
        key: key(),
        link: LinkSettings::default(),
    };
    let follower = Follower::spawn(me.clone(), info, cfg);
    let stop = CancellationToken::new();
    if accepts_renewals {
        let accepting = accept_renewals(listener, me, follower.clone(), stop.clone());
        tokio::spawn(stop.clone().run_until_cancelled_owned(accepting));
    }
    Node {
        follower,
        relay,
        _stop: stop.drop_guard(),
    }
}

/// Forwards the renewals of other nodes, as an agent does.
async fn accept_renewals(
    listener: TcpListener,
    me: Identity,
    follower: Follower,
    stop: CancellationToken,
) {
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

async fn wait_for_note(followers: &[Follower], number: u64) {
    until("all followers have the note", || async {
        let all = followers
            .iter()
            .all(|follower| follower.catalogue().number() >= number);
        all.then_some(())
    })
    .await;
}

async fn time_until_in_force(cluster: &Cluster, followers: &[Follower], number: u64) -> f64 {
    let note = json!({"number": number, "added": [account_item(&format!("account-{number}"))]});
    let answer = cluster
        .operator("entry-1", "POST", "/v1/operator/notes", &note)
        .await;
    assert!(answer.status < 300, "{}", answer.text());
    let accepted = Instant::now();
    wait_for_note(followers, number).await;
    accepted.elapsed().as_secs_f64()
}

fn bytes(relays: &[Relay]) -> u64 {
    relays.iter().map(Relay::bytes).sum()
}
