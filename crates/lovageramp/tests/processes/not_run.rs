//! "Not run" told to callers, compared with what the targets saw.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::support::{Cluster, ClusterPlan, bearer, request, reserve, until};

/// What a caller was told of one call.
struct Told {
    key: String,
    status: u16,
    ran: String,
}

/// Callers that reserve lots, each under a key of its own, until told to stop.
struct Callers {
    told: Arc<Mutex<Vec<Told>>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    fn start(entries: &Arc<Mutex<Vec<SocketAddr>>>) -> Callers {
        let told: Arc<Mutex<Vec<Told>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(0));
        let tasks = (0..8).map(|_| {
            let (told, stop) = (Arc::clone(&told), Arc::clone(&stop));
            let (next, entries) = (Arc::clone(&next), Arc::clone(entries));
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let entry = {
                        let entries = entries.lock().unwrap();
                        entries[usize::try_from(number).unwrap() % entries.len()]
                    };
                    call(entry, format!("lot-{number}"), &told).await;
                }
            })
        });
        let tasks = tasks.collect();
        Callers { told, stop, tasks }
    }

    /// Waits until so many more calls were answered.
    async fn answered(&self, more: usize) {
        let goal = self.told.lock().unwrap().len() + more;
        until("calls are answered", || async {
            (self.told.lock().unwrap().len() >= goal).then_some(())
        })
        .await;
    }

    async fn finish(self) -> Vec<Told> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        std::mem::take(&mut *self.told.lock().unwrap())
    }
}

async fn call(entry: SocketAddr, key: String, told: &Mutex<Vec<Told>>) {
    let Ok(answer) = reserve(entry, "huber", &key, "{}").await else {
        // The entry was killed: it told nothing.
        tokio::time::sleep(Duration::from_millis(20)).await;
        return;
    };
    let ran = if answer.status == 200 {
        "yes".to_owned()
    } else {
        answer.json()["ran"].as_str().unwrap_or("-").to_owned()
    };
    let status = answer.status;
    told.lock().unwrap().push(Told { key, status, ran });
    if status != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Agents and entries are killed, stopped and cut off while buyers reserve
/// lots. A buyer who is told "not run" reserves again under another key: had
/// the first call run, the burl would be sold twice.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_told_not_run() {
    let plan = ClusterPlan {
        entries: 3,
        engines: 1,
        services: 3,
        ..ClusterPlan::default()
    };
    let mut cluster = Cluster::start(plan).await;
    cluster.submit_first_note().await;
    let addresses = |cluster: &Cluster| {
        (1..=3)
            .map(|n| cluster.http(&format!("entry-{n}")))
            .collect()
    };
    let entries: Arc<Mutex<Vec<SocketAddr>>> = Arc::new(Mutex::new(addresses(&cluster)));
    let callers = Callers::start(&entries);
    callers.answered(50).await;

    // An agent dies while its service runs a call.
    let before = cluster.ran_at("desk-01", "").await;
    cluster.fault("desk-01", "stall", "").await;
    until("a call runs at desk-01", || async {
        (cluster.ran_at("desk-01", "").await > before).then_some(())
    })
    .await;
    cluster.kill("desk-01").await;
    cluster.fault("desk-01", "clear", "").await;
    callers.answered(30).await;
    cluster.start_agent("desk-01").await;

    // A service runs calls and its answers are lost.
    cluster.fault("desk-03", "lose-answer", "").await;
    callers.answered(40).await;
    cluster.fault("desk-03", "clear", "").await;

    cluster.relays["desk-02"].swallow_there();
    callers.answered(30).await;
    cluster.signal("desk-03", "STOP").await;
    callers.answered(20).await;
    cluster.signal("desk-03", "CONT").await;
    callers.answered(30).await;

    cluster.kill("entry-2").await;
    callers.answered(20).await;
    cluster.start_entry(2).await;
    *entries.lock().unwrap() = addresses(&cluster);

    for control in 1..=3 {
        cluster.relays[&format!("entry-1>control-{control}")].cut();
    }
    let first = cluster.http("entry-1");
    until("entry-1 has no lease", || async move {
        let ready = crate::support::get(first, "/readyz", &[]).await.ok()?;
        (ready.status == 503).then_some(())
    })
    .await;
    callers.answered(50).await;
    for control in 1..=3 {
        cluster.relays[&format!("entry-1>control-{control}")].heal();
    }
    let leader = cluster.leader().await;
    cluster.kill(&leader).await;
    callers.answered(30).await;
    let told = callers.finish().await;

    // What was told is compared once nothing runs any more.
    let (mut yes, mut no) = (0, 0);
    for told in &told {
        let ran = cluster.ran(&told.key).await;
        let Told {
            key,
            status,
            ran: word,
        } = told;
        assert!(ran <= 1, "{key} ran {ran} times");
        match word.as_str() {
            "yes" => assert_eq!(ran, 1, "{key} answered with {status}"),
            "no" => assert_eq!(ran, 0, "{key} told not run, with {status}"),
            other => assert_eq!(other, "unknown", "{key} with {status}"),
        }
        yes += u32::from(word == "yes");
        no += u32::from(word == "no");
    }
    let all = told.len();
    println!("{all} calls answered: {yes} ran, {no} told not run");
    assert!(yes > 100);
}

/// Path, headers and the status that is expected.
type Refused<'a> = (&'a str, &'a [(&'a str, &'a str)], u16);

/// Requests that are refused before anything is sent, each told "not run".
#[tokio::test(flavor = "multi_thread")]
async fn refused_before_sent() {
    let plan = ClusterPlan {
        entries: 1,
        engines: 1,
        services: 1,
        ..ClusterPlan::default()
    };
    let cluster = Cluster::start(plan).await;
    cluster.submit_first_note().await;
    let entry = cluster.http("entry-1");
    let before = cluster.ran_at("desk-01", "").await;
    let key = bearer("huber");
    let known = ("authorization", key.as_str());
    let calls: [Refused; 5] = [
        ("/s/order-desk/reservations", &[], 401),
        (
            "/s/order-desk/reservations",
            &[("authorization", "Bearer x")],
            401,
        ),
        ("/s/order-desk/reservations", &[known], 400),
        (
            "/s/no-such-desk/reservations",
            &[known, ("idempotency-key", "k")],
            404,
        ),
        (
            "/s/order-desk/x",
            &[
                known,
                ("idempotency-key", "k"),
                ("x-request-timeout-ms", "-1"),
            ],
            400,
        ),
    ];
    for (path, headers, status) in calls {
        let answer = request(entry, "POST", path, headers, "{}").await.unwrap();
        assert_eq!(answer.status, status, "{}", answer.text());
        assert_eq!(answer.json()["ran"], "no");
        assert!(answer.json()["request"].is_string());
    }
    assert_eq!(cluster.ran_at("desk-01", "").await, before);
}
