//! Runs the request mixes of both users against a deployment of their size, in separate
//! processes: 3 controls, 4 entries, 16 agents for engines and 3 for services. Each mix
//! runs twice: undisturbed, and with an entry, an agent and the leader of the controls
//! killed during the load. Prints the tables of `lovageramp bench` and fails when a call
//! was lost, ran twice or had a wrong response.
//!
//! `cargo bench -p lovageramp --bench users`; `LOAD_SECONDS` and `LOAD_RATE` change
//! the load, `LOAD_PLOTS` names a folder for plots.

#[path = "../tests/processes/support/mod.rs"]
mod support;

use std::process::Stdio;
use std::time::Duration;

use serde_json::{Value, json};
use support::{Cluster, ClusterPlan, account_item, until};
use tokio::process::{Child, Command};
use tokio::time::sleep;

const CLIENT: &str = env!("CARGO_BIN_EXE_lovageramp");
const STEP_MS: u32 = 20;

/// Accounts with four times the load of the others.
const LARGE_ACCOUNTS: [&str; 2] = ["huber", "maier"];
const SMALL_ACCOUNTS: [&str; 8] = [
    "bauer", "lechner", "ritter", "seidl", "vogl", "wolf", "katalog", "presse",
];

/// Time until a killed process is restarted.
const DOWNTIME: Duration = Duration::from_secs(3);

fn main() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    if !runtime.block_on(measure()) {
        std::process::exit(1);
    }
}

fn env_number(variable: &str, default: u64) -> u64 {
    let given = std::env::var(variable).ok();
    given.map_or(default, |text| text.parse().unwrap())
}

async fn measure() -> bool {
    let plan = ClusterPlan {
        engines: 16,
        services: 3,
        step_ms: STEP_MS,
        ..ClusterPlan::default()
    };
    let mut cluster = Cluster::start(plan).await;
    cluster.submit_first_note().await;
    add_accounts(&cluster).await;
    let mut all_passed = true;
    for (seed, mix) in [(1, "association"), (2, "hotline")] {
        println!("\n## {mix}, undisturbed\n");
        all_passed &= wait_for_load(start_load(&cluster, mix, seed, "undisturbed")).await;
        println!("\n## {mix}, with an entry, an agent and the leader killed\n");
        let load = start_load(&cluster, mix, seed + 10, "killed");
        kill_and_restart(&mut cluster).await;
        all_passed &= wait_for_load(load).await;
    }
    all_passed
}

async fn add_accounts(cluster: &Cluster) {
    let added: Vec<Value> = SMALL_ACCOUNTS.into_iter().map(account_item).collect();
    let note = json!({"number": 2, "added": added});
    let note = &note;
    until("the accounts are in force everywhere", || async move {
        let path = "/v1/operator/notes";
        cluster.operator("entry-1", "POST", path, note).await;
        let path = "/v1/operator/notes/status";
        let status = cluster.operator("entry-1", "GET", path, &Value::Null).await;
        let status: Value = serde_json::from_slice(&status.body).ok()?;
        (status["in_force_everywhere"] == 2).then_some(())
    })
    .await;
}

/// Starts the load of one mix.
fn start_load(cluster: &Cluster, mix: &str, seed: u64, case: &str) -> Child {
    let mut load = Command::new(CLIENT);
    load.args(["bench", "--mix", mix, "--model", "burl-notes"]);
    load.args(["--service", "order-desk", "--seed", &seed.to_string()]);
    load.args(["--rate", &env_number("LOAD_RATE", 60).to_string()]);
    load.args(["--seconds", &load_seconds().to_string()]);
    for entry in 1..=cluster.plan.entries {
        let host = cluster.http(&format!("entry-{entry}"));
        load.args(["--host", &host.to_string()]);
    }
    for account in LARGE_ACCOUNTS {
        load.args(["--key", &format!("key-of-{account}*4")]);
    }
    for account in SMALL_ACCOUNTS {
        load.args(["--key", &format!("key-of-{account}")]);
    }
    for service in 1..=cluster.plan.services {
        let fake = cluster.http(&format!("fake-desk-{service:02}"));
        load.args(["--seen", &fake.to_string()]);
    }
    if let Ok(folder) = std::env::var("LOAD_PLOTS") {
        load.args(["--plot", &format!("{folder}/{mix}-{case}.svg")]);
    }
    load.stdout(Stdio::inherit())
        .stderr(Stdio::inherit())
        .kill_on_drop(true)
        .spawn()
        .unwrap()
}

async fn wait_for_load(mut load: Child) -> bool {
    load.wait().await.unwrap().success()
}

fn load_seconds() -> u64 {
    env_number("LOAD_SECONDS", 40)
}

/// Kills an entry, an agent and the leader at intervals of a quarter of the load, and
/// restarts each of them.
async fn kill_and_restart(cluster: &mut Cluster) {
    let quarter = Duration::from_secs(load_seconds()) / 4;
    let pause = quarter.saturating_sub(DOWNTIME);
    sleep(quarter).await;
    kill(cluster, "entry-2").await;
    cluster.start_entry(2).await;
    sleep(pause).await;
    kill(cluster, "advisor-03").await;
    cluster.start_agent("advisor-03").await;
    sleep(pause).await;
    let leader = leader(cluster).await;
    kill(cluster, &leader).await;
    let number = leader.rsplit('-').next().unwrap().parse().unwrap();
    cluster.start_control(number).await;
}

async fn kill(cluster: &mut Cluster, name: &str) {
    eprintln!("kill -9 {name}");
    cluster.processes.get_mut(name).unwrap().kill().await;
    sleep(DOWNTIME).await;
    eprintln!("start {name}");
}

async fn leader(cluster: &Cluster) -> String {
    until("a leader is known", || async move {
        let path = "/v1/operator/status";
        let status = cluster.operator("entry-1", "GET", path, &Value::Null).await;
        let status: Value = serde_json::from_slice(&status.body).ok()?;
        status["leader"].as_str().map(str::to_owned)
    })
    .await
}
