//! Checks for linearizability the histories of operators that send and read notes while
//! controls are killed, paused, partitioned and lose their disks.

use crate::support::notes::{Operators, Shared};
use crate::support::{Cluster, ClusterPlan, until};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;
use tokio::time::sleep;

const CONTROLS: usize = 3;
const OPERATORS: u64 = 4;
const FAULTS: usize = 9;

async fn until_repaired(cluster: &Cluster) {
    until("the repair is complete", || async {
        for number in 1..=CONTROLS {
            let Some(status) = cluster.status(&format!("control-{number}")).await else {
                continue;
            };
            let is_complete = status["replicas"]
                .as_array()
                .is_some_and(|rows| rows.len() == CONTROLS);
            if is_complete && status["leads"] == true && status["repair"] == "complete" {
                return Some(());
            }
        }
        None
    })
    .await;
}

async fn leader(cluster: &Cluster) -> Option<usize> {
    for number in 1..=CONTROLS {
        let status = cluster.status(&format!("control-{number}")).await;
        if status.is_some_and(|status| status["leads"] == true) {
            return Some(number);
        }
    }
    None
}

/// Injects one fault and clears it.
async fn inject_fault(cluster: &mut Cluster, shared: &Shared, round: usize, rng: &mut StdRng) {
    let random = rng.random_range(1..=CONTROLS);
    let number = match leader(cluster).await {
        Some(leader) if rng.random_range(0..3) > 0 => leader,
        _ => random,
    };
    let name = format!("control-{number}");
    let duration = Duration::from_millis(rng.random_range(500..2500));
    match round % 4 {
        0 => {
            cluster.kill(&name).await;
            sleep(duration).await;
            cluster.start_control(number).await;
        }
        1 => {
            cluster.signal(&name, "STOP").await;
            sleep(duration * 2).await;
            cluster.signal(&name, "CONT").await;
        }
        2 => {
            let is_adjacent = |relay: &str| relay.starts_with(&name) || relay.ends_with(&name);
            let cut: Vec<&String> = cluster
                .relays
                .keys()
                .filter(|relay| is_adjacent(relay))
                .collect();
            for relay in &cut {
                cluster.relays[*relay].cut();
            }
            sleep(duration * 2).await;
            for relay in &cut {
                cluster.relays[*relay].heal();
            }
        }
        _ => {
            until_repaired(cluster).await;
            cluster.lose_disk(number).await;
            cluster.start_control(number).await;
        }
    }
    shared.add_host(cluster, &name);
    sleep(duration / 2).await;
}

/// Detects two notes with the same number, an accepted note that is lost, and a stale read
/// from a control that still considers itself the leader.
#[tokio::test(flavor = "multi_thread")]
async fn notes_linearizable_under_faults() {
    let mut cluster = Cluster::start(ClusterPlan {
        controls: CONTROLS,
        entries: 0,
        engines: 0,
        services: 0,
        ..ClusterPlan::default()
    })
    .await;
    until_repaired(&cluster).await;
    let operators = Operators::start(&cluster, OPERATORS, 0);
    let mut rng = StdRng::seed_from_u64(4711);
    for round in 0..FAULTS {
        inject_fault(&mut cluster, &operators.shared, round, &mut rng).await;
    }
    until_repaired(&cluster).await;
    let accepted = operators.end(&cluster).await;
    assert!(accepted > FAULTS, "only {accepted} notes were accepted");
}
