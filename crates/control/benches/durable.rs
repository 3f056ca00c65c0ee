//! Benchmarks of the durable state: commits against plain syncs on the same disk, the time
//! without a leader, and the time to catch up.
//!
//! Run with `cargo bench -p lovageramp-control --bench durable`; the data folders are
//! created under `TMPDIR`.

#[path = "../tests/replicas/cluster.rs"]
#[allow(dead_code, reason = "some functions are used by tests only")]
mod cluster;

use cluster::{Cluster, propose_to};
use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use wire::proto::{Claim, command, outcome};

const MEASURE_TIME: Duration = Duration::from_secs(4);
const LINKS: usize = 8;
const KILLS: usize = 11;
/// Election timeout of the replicas; must match `Cluster::settings`.
const ELECTION: Duration = Duration::from_millis(500);

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        commits().await;
        without_leader().await;
        for notes in [300, 3_000] {
            catch_up(notes).await;
        }
    });
}

/// Returns the rate, per second, of appends of the size of a record with one sync each.
fn plain_syncs() -> f64 {
    const RECORD: [u8; 256] = [7; 256];
    let folder = tempfile::tempdir().unwrap();
    let mut file = File::create(folder.path().join("plain")).unwrap();
    let begun = Instant::now();
    let mut count = 0_u32;
    while begun.elapsed() < MEASURE_TIME {
        file.write_all(&RECORD).unwrap();
        file.sync_data().unwrap();
        count += 1;
    }
    f64::from(count) / begun.elapsed().as_secs_f64()
}

async fn commits() {
    println!(
        "| replicas | callers at once | plain syncs/s | commits/s | commits for each plain sync |"
    );
    println!("|---|---|---|---|---|");
    for replicas in [1, 3] {
        let cluster = Cluster::start(replicas).await;
        for callers in [1, 64, 1024] {
            let plain = plain_syncs();
            let rate = commit_rate(&cluster, callers).await;
            let ratio = rate / plain;
            println!("| {replicas} | {callers} | {plain:.0} | {rate:.0} | {ratio:.1} |");
        }
    }
}

/// Returns the rate of commits per second.
async fn commit_rate(cluster: &Cluster, callers: usize) -> f64 {
    let leader = cluster.leader().await;
    let mut links = Vec::new();
    for _ in 0..LINKS {
        links.push(cluster.dial(&leader).await);
    }
    let done = Arc::new(AtomicU64::new(0));
    let begun = Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..callers {
        let (link, done) = (links[caller % LINKS].clone(), Arc::clone(&done));
        tasks.spawn(async move {
            for call in 0_u64.. {
                if begun.elapsed() > MEASURE_TIME {
                    return;
                }
                let outcome = propose_to(&link, claim(caller, call)).await;
                if matches!(outcome, Some(outcome::Body::Claim(_))) {
                    done.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let count = u32::try_from(done.load(Ordering::Relaxed)).unwrap();
    f64::from(count) / begun.elapsed().as_secs_f64()
}

fn claim(caller: usize, call: u64) -> command::Body {
    command::Body::Claim(Claim {
        account: "saegewerk-huber".to_owned(),
        key: format!("{:?}/{caller}/{call}", std::thread::current().id()).into(),
        digest: vec![1; 32].into(),
        attempt: rand::random::<u128>().to_be_bytes().to_vec().into(),
        target: "desk-01".to_owned(),
        incarnation: 7,
        service: "order-desk".to_owned(),
    })
}

/// Measures the time from the stop of the leader until a command is committed again.
async fn without_leader() {
    let mut cluster = Cluster::start(3).await;
    let mut durations = Vec::new();
    for _ in 0..KILLS {
        let leader = cluster.leader().await;
        cluster.stop_replica(&leader).await;
        let begun = Instant::now();
        cluster.propose(claim(0, 0)).await;
        durations.push(begun.elapsed().as_secs_f64() / ELECTION.as_secs_f64());
        cluster.start_replica(&leader).await;
        cluster.wait_repaired().await;
    }
    durations.sort_by(f64::total_cmp);
    let (least, median, most) = (durations[0], durations[KILLS / 2], durations[KILLS - 1]);
    println!();
    println!("Without a leader after a kill, in election timeouts of {ELECTION:?}, {KILLS} kills:");
    println!("least {least:.2}, median {median:.2}, most {most:.2}");
}

async fn catch_up(notes: u64) {
    for snapshot_entries in [1_000_000, 100] {
        let mut cluster = Cluster::prepare(3).await;
        cluster.snapshot_entries = snapshot_entries;
        cluster.init_and_start().await;
        let leader = cluster.leader().await;
        let names = cluster.names();
        let behind = names.iter().find(|name| **name != leader).unwrap();
        cluster.stop_replica(behind).await;
        cluster.submit_fast(notes).await;
        let begun = Instant::now();
        cluster.start_replica(behind).await;
        cluster.wait_for_note(behind, notes).await;
        let method = if snapshot_entries == 100 {
            "snapshot and tail"
        } else {
            "log"
        };
        println!();
        println!(
            "Catch-up {notes} notes behind by {method}, start of the process included: {:?}",
            begun.elapsed()
        );
    }
}
