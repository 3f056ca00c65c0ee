//! Callers that send reservations throughout faults, and the recorded outcome of each call.

use super::cluster::Cluster;
use super::reserve;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const CALL_INTERVAL: Duration = Duration::from_millis(50);

/// Outcome of a call as its caller saw it. No call is sent twice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outcome {
    Executed,
    NotRun,
    Unknown,
}

/// One caller for each entry, each sending reservations one at a time.
pub struct Callers {
    calls: Arc<Mutex<BTreeMap<String, Outcome>>>,
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts one caller for each entry.
    pub fn start(cluster: &Cluster) -> Callers {
        let mut callers = Callers {
            calls: Arc::default(),
            stop: Arc::default(),
            tasks: JoinSet::new(),
        };
        for number in 1..=cluster.plan.entries {
            let name = format!("entry-{number}");
            let entry = cluster.http(&name);
            let (calls, stop) = (Arc::clone(&callers.calls), Arc::clone(&callers.stop));
            callers.tasks.spawn(send_calls(name, entry, calls, stop));
        }
        callers
    }

    /// Stops the callers and checks every outcome against the number of executions.
    /// Returns the number of calls that were answered with success.
    pub async fn end(mut self, cluster: &Cluster) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        while let Some(result) = self.tasks.join_next().await {
            result.unwrap();
        }
        let calls = self.calls.lock().unwrap().clone();
        for (key, outcome) in &calls {
            let ran = cluster.ran(key).await;
            let consistent = match outcome {
                Outcome::Executed => ran == 1,
                Outcome::NotRun => ran == 0,
                Outcome::Unknown => ran <= 1,
            };
            assert!(consistent, "{key}: outcome {outcome:?}, ran {ran} times");
        }
        calls
            .values()
            .filter(|outcome| **outcome == Outcome::Executed)
            .count()
    }
}

async fn send_calls(
    name: String,
    entry: SocketAddr,
    calls: Arc<Mutex<BTreeMap<String, Outcome>>>,
    stop: Arc<AtomicBool>,
) {
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let key = format!("{name}-{number}");
        let response = reserve(entry, "huber", &key, "burl");
        let outcome = match timeout(CALL_TIMEOUT, response).await {
            Ok(Ok(answer)) if answer.status == 200 => Outcome::Executed,
            Ok(Ok(answer)) if answer.status == 503 && answer.json()["ran"] == "no" => {
                Outcome::NotRun
            }
            // The call may still run after its caller has timed out.
            _ => Outcome::Unknown,
        };
        calls.lock().unwrap().insert(key, outcome);
        sleep(CALL_INTERVAL).await;
    }
}
