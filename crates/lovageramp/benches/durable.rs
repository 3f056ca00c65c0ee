//! Measures the durable state with real processes: the time without a leader after a
//! kill, the rate of claims, the size of their records, and the time until a note is in
//! force everywhere.
//!
//! `cargo bench -p lovageramp --bench durable`

#![allow(
    clippy::cast_precision_loss,
    reason = "the counts of a bench are far below 2^52"
)]

#[path = "../tests/processes/support/mod.rs"]
mod support;

use bytes::Bytes;
use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use support::{Cluster, ClusterPlan, account_item, until};
use tokio::task::JoinSet;
use wire::proto::claim_outcome::Kind;
use wire::proto::frame::Body;
use wire::proto::{Answer, Claim, Command, Finish, Propose, command, finish, outcome};
use wire::{ClusterKey, Identity, Link, LinkSettings, Role};

const KILLS: usize = 11;
/// Election timeout of the controls, the default.
const ELECTION_TIMEOUT: Duration = Duration::from_secs(1);
const LOAD_DURATION: Duration = Duration::from_secs(4);
const LINKS: usize = 8;
/// Size of the response body stored in the ledger.
const RESPONSE_BYTES: usize = 200;
const NOTES: u64 = 20;

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        measure_time_without_leader().await;
        measure_claims().await;
        println!("\n| entries | agents | accepted to in force, ms: least | median | most |");
        println!("|---|---|---|---|---|");
        for (engines, services) in [(0, 1), (4, 1), (8, 2), (16, 3)] {
            measure_time_to_in_force(engines, services).await;
        }
    });
}

fn controls_only() -> ClusterPlan {
    ClusterPlan {
        entries: 0,
        engines: 0,
        services: 0,
        ..ClusterPlan::default()
    }
}

fn min_median_max(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    (
        values[0],
        values[values.len() / 2],
        values[values.len() - 1],
    )
}

fn note(number: u64) -> Value {
    json!({"number": number, "added": [account_item(&format!("account-{number}"))]})
}

/// Measures the time from the kill of the leader until another control accepts a note.
async fn measure_time_without_leader() {
    let mut cluster = Cluster::start(controls_only()).await;
    let mut times = Vec::new();
    for number in 1..=KILLS as u64 {
        cluster.until_repaired().await;
        let leader = cluster.leader().await;
        let mut others = (1..=3).map(|n| format!("control-{n}"));
        let host = others.find(|name| *name != leader).unwrap();
        cluster.kill(&leader).await;
        let begun = Instant::now();
        until("the note is accepted", || async {
            let path = "/v1/operator/notes";
            let answer = cluster.operator(&host, "POST", path, &note(number)).await;
            (answer.status == 200).then_some(())
        })
        .await;
        times.push(begun.elapsed().as_secs_f64() / ELECTION_TIMEOUT.as_secs_f64());
        let number = leader.rsplit('-').next().unwrap().parse().unwrap();
        cluster.start_control(number).await;
    }
    let (least, median, most) = min_median_max(times);
    println!("Without a leader after kill -9 of its process, until a note is accepted, in");
    println!("election timeouts of {ELECTION_TIMEOUT:?}, {KILLS} kills:");
    println!("least {least:.2}, median {median:.2}, most {most:.2}");
}

async fn dial(cluster: &Cluster, control: &str) -> Link {
    let key = ClusterKey::from_bytes(b"key of the test cluster").unwrap();
    let me = Identity::new(Role::Entry, "bench", rand::random());
    let address = cluster.processes[control].links.unwrap();
    let dialled = wire::dial(address, &me, &key, &LinkSettings::default()).await;
    let (link, mut rx) = dialled.unwrap();
    tokio::spawn(async move { while rx.recv().await.is_some() {} });
    link
}

async fn measure_claims() {
    println!("\n| callers at once | claims/s, each finished after | bytes for each record |");
    println!("|---|---|---|");
    for callers in [1, 64, 512] {
        let cluster = Cluster::start(controls_only()).await;
        let leader = cluster.leader().await;
        let mut links = Vec::new();
        for _ in 0..LINKS {
            links.push(dial(&cluster, &leader).await);
        }
        let finished = Arc::new(AtomicU64::new(0));
        let begun = Instant::now();
        let mut tasks = JoinSet::new();
        for caller in 0..callers {
            let (link, finished) = (links[caller % LINKS].clone(), Arc::clone(&finished));
            tasks.spawn(claim_in_loop(link, finished, caller, begun));
        }
        while tasks.join_next().await.is_some() {}
        let rate = finished.load(Ordering::Relaxed) as f64 / begun.elapsed().as_secs_f64();
        let status = cluster.status(&leader).await.unwrap();
        let ledger = &status["ledger"];
        let bytes = ledger["bytes"].as_f64().unwrap() / ledger["records"].as_f64().unwrap();
        println!("| {callers} | {rate:.0} | {bytes:.0} |");
    }
}

async fn claim_in_loop(link: Link, finished: Arc<AtomicU64>, caller: usize, begun: Instant) {
    for call in 0_u64.. {
        if begun.elapsed() > LOAD_DURATION {
            return;
        }
        let account = "saegewerk-huber".to_owned();
        let key = Bytes::from(format!("{caller:08}/{call:08}"));
        let attempt = Bytes::from(rand::random::<u128>().to_be_bytes().to_vec());
        let claim = command::Body::Claim(Claim {
            account: account.clone(),
            key: key.clone(),
            digest: vec![1; 32].into(),
            attempt: attempt.clone(),
            target: "desk-01".to_owned(),
            incarnation: 7,
            service: "order-desk".to_owned(),
        });
        let claimed = match propose(&link, claim).await {
            Some(outcome::Body::Claim(claimed)) => claimed.kind(),
            _ => continue,
        };
        // Each claim counts as a call that ran; a full ledger would refuse it.
        assert_eq!(claimed, Kind::Claimed);
        let answer = finish::Result::Answer(Answer {
            status: 200,
            headers: Vec::new(),
            body: vec![7; RESPONSE_BYTES].into(),
        });
        let finish = command::Body::Finish(Finish {
            account,
            key,
            attempt,
            result: Some(answer),
        });
        if let Some(outcome::Body::Finish(outcome)) = propose(&link, finish).await
            && outcome.stored
        {
            finished.fetch_add(1, Ordering::Relaxed);
        }
    }
}

async fn propose(link: &Link, body: command::Body) -> Option<outcome::Body> {
    let command = Some(Command {
        now_ms: 0,
        body: Some(body),
    });
    match link
        .call(Body::Propose(Propose { command }), LOAD_DURATION)
        .await
    {
        Ok(Body::Outcome(outcome)) => outcome.body,
        _ => None,
    }
}

/// Measures the time from the acceptance of a note until the leader reports it in force
/// everywhere.
async fn measure_time_to_in_force(engines: usize, services: usize) {
    let cluster = Cluster::start(ClusterPlan {
        engines,
        services,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    let leader = cluster.leader().await;
    let mut times = Vec::new();
    for number in 2..2 + NOTES {
        let path = "/v1/operator/notes";
        let answer = cluster.operator(&leader, "POST", path, &note(number)).await;
        let begun = Instant::now();
        assert_eq!(answer.status, 200, "{}", answer.text());
        loop {
            let path = "/v1/operator/notes/status";
            let status = cluster.operator(&leader, "GET", path, &Value::Null).await;
            if status.json()["in_force_everywhere"].as_u64() >= Some(number) {
                break;
            }
        }
        times.push(begun.elapsed().as_secs_f64() * 1e3);
    }
    let (least, median, most) = min_median_max(times);
    let agents = engines + services;
    println!("| 4 | {agents} | {least:.1} | {median:.1} | {most:.1} |");
}
