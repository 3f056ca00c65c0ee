//! Compares the `ran` value reported to callers with the calls that the targets received.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::support::{Cluster, ClusterPlan, bearer, request, reserve, until};

/// What the answer to one call reported.
struct Reported {
    key: String,
    status: u16,
    ran: String,
}

/// Callers that make reservations, each with a new idempotency key, until stopped.
struct Callers {
    reported: Arc<Mutex<Vec<Reported>>>,
    stop: Arc<AtomicBool>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Callers {
    fn start(entries: &Arc<Mutex<Vec<SocketAddr>>>) -> Callers {
        let reported: Arc<Mutex<Vec<Reported>>> = Arc::default();
        let stop = Arc::new(AtomicBool::new(false));
        let next = Arc::new(AtomicU64::new(0));
        let tasks = (0..8).map(|_| {
            let (reported, stop) = (Arc::clone(&reported), Arc::clone(&stop));
            let (next, entries) = (Arc::clone(&next), Arc::clone(entries));
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let entry = {
                        let entries = entries.lock().unwrap();
                        entries[usize::try_from(number).unwrap() % entries.len()]
                    };
                    call(entry, format!("lot-{number}"), &reported).await;
                }
            })
        });
        let tasks = tasks.collect();
        Callers {
            reported,
            stop,
            tasks,
        }
    }

    /// Waits until `more` further calls are answered.
    async fn answered(&self, more: usize) {
        let goal = self.reported.lock().unwrap().len() + more;
        until("calls are answered", || async {
            (self.reported.lock().unwrap().len() >= goal).then_some(())
        })
        .await;
    }

    async fn finish(self) -> Vec<Reported> {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        std::mem::take(&mut *self.reported.lock().unwrap())
    }
}

async fn call(entry: SocketAddr, key: String, reported: &Mutex<Vec<Reported>>) {
    let Ok(answer) = reserve(entry, "huber", &key, "{}").await else {
        // The entry was killed before it answered.
        tokio::time::sleep(Duration::from_millis(20)).await;
        return;
    };
    let ran = if answer.status == 200 {
        "yes".to_owned()
    } else {
        answer.json()["ran"].as_str().unwrap_or("-").to_owned()
    };
    let status = answer.status;
    reported.lock().unwrap().push(Reported { key, status, ran });
    if status != 200 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Agents and entries are killed, stopped and partitioned while callers make
/// reservations. A caller that gets `"ran": "no"` may retry with another key, so if the
/// first call had run after all, the same lot would be reserved twice.
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

    // A service runs calls, but its answers are lost.
    cluster.fault("desk-03", "lose-answer", "").await;
    callers.answered(40).await;
    cluster.fault("desk-03", "clear", "").await;

    cluster.relays["desk-02"].discard_to_target();
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
    let reported = callers.finish().await;

    // The reports are compared once no call runs any more.
    let (mut ran_count, mut not_run_count) = (0, 0);
    for reported in &reported {
        let ran = cluster.ran(&reported.key).await;
        let Reported {
            key,
            status,
            ran: claim,
        } = reported;
        assert!(ran <= 1, "{key} ran {ran} times");
        match claim.as_str() {
            "yes" => assert_eq!(ran, 1, "{key} answered with {status}"),
            "no" => assert_eq!(ran, 0, "{key} reported as not run with {status}"),
            other => assert_eq!(other, "unknown", "{key} with {status}"),
        }
        ran_count += u32::from(claim == "yes");
        not_run_count += u32::from(claim == "no");
    }
    let all = reported.len();
    println!("{all} calls answered: {ran_count} ran, {not_run_count} reported as not run");
    assert!(ran_count > 100);
}

/// Path, headers and expected status.
type RefusedCall<'a> = (&'a str, &'a [(&'a str, &'a str)], u16);

/// Requests that are refused before anything is sent to a target report `"ran": "no"`.
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
    let credentials = ("authorization", key.as_str());
    let calls: [RefusedCall; 5] = [
        ("/s/order-desk/reservations", &[], 401),
        (
            "/s/order-desk/reservations",
            &[("authorization", "Bearer x")],
            401,
        ),
        ("/s/order-desk/reservations", &[credentials], 400),
        (
            "/s/no-such-desk/reservations",
            &[credentials, ("idempotency-key", "k")],
            404,
        ),
        (
            "/s/order-desk/x",
            &[
                credentials,
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
