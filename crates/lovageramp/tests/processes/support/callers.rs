//! Callers of the order desk who go on through faults, and what became of each call.

use super::cluster::Cluster;
use super::reserve;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// A caller gives up on an answer after this.
const PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(50);

/// What a caller was told of a call; it never sends the same again.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Told {
    Done,
    NotRun,
    Unknown,
}

/// One caller at each entry, who reserves a lot after the other.
pub struct Callers {
    calls: Arc<Mutex<BTreeMap<String, Told>>>,
    over: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Callers {
    /// Starts a caller at each entry.
    pub fn start(cluster: &Cluster) -> Callers {
        let mut callers = Callers {
            calls: Arc::default(),
            over: Arc::default(),
            tasks: JoinSet::new(),
        };
        for number in 1..=cluster.plan.entries {
            let name = format!("entry-{number}");
            let entry = cluster.http(&name);
            let (calls, over) = (Arc::clone(&callers.calls), Arc::clone(&callers.over));
            callers.tasks.spawn(call(name, entry, calls, over));
        }
        callers
    }

    /// Ends them and compares what they were told with what ran; gives how many calls
    /// were answered in full.
    pub async fn end(mut self, cluster: &Cluster) -> usize {
        self.over.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended.unwrap();
        }
        let calls = self.calls.lock().unwrap().clone();
        for (key, told) in &calls {
            let ran = cluster.ran(key).await;
            let right = match told {
                Told::Done => ran == 1,
                Told::NotRun => ran == 0,
                Told::Unknown => ran <= 1,
            };
            assert!(right, "{key}: told {told:?}, ran {ran} times");
        }
        calls.values().filter(|told| **told == Told::Done).count()
    }
}

async fn call(
    name: String,
    entry: SocketAddr,
    calls: Arc<Mutex<BTreeMap<String, Told>>>,
    over: Arc<AtomicBool>,
) {
    for number in 0.. {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let key = format!("{name}-{number}");
        let asked = reserve(entry, "huber", &key, "burl");
        let told = match timeout(PATIENCE, asked).await {
            Ok(Ok(answer)) if answer.status == 200 => Told::Done,
            Ok(Ok(answer)) if answer.status == 503 && answer.json()["ran"] == "no" => Told::NotRun,
            // It may still run when its caller has given up.
            _ => Told::Unknown,
        };
        calls.lock().unwrap().insert(key, told);
        sleep(PAUSE).await;
    }
}
