//! More requests than the targets can serve.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::support::{Cluster, ClusterPlan, chat, get, until};

/// Delay of a caller before it retries a refused request.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Callers of the large account: more than the concurrency limit and the queue admit.
const CALLERS: u32 = 400;

/// One account sends as fast as it can; another one sends occasionally. With a FIFO
/// queue the small account's callers would wait behind the flood. Refused callers must
/// be answered immediately and with `retry-after`.
#[tokio::test(flavor = "multi_thread")]
async fn flood_of_one_account() {
    let plan = ClusterPlan {
        entries: 1,
        engines: 1,
        services: 1,
        step_ms: 20,
        ..ClusterPlan::default()
    };
    let cluster = Arc::new(Cluster::start(plan).await);
    cluster.submit_first_note().await;
    let entry = cluster.http("entry-1");
    let stop = Arc::new(AtomicBool::new(false));
    let flood = (0..CALLERS).map(|n| {
        let stop = Arc::clone(&stop);
        tokio::spawn(async move {
            let mut answers = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let answer = chat(entry, "huber", &format!("flood {n}"), false).await;
                let answer = answer.unwrap();
                if answer.status != 200 {
                    // Limits the connection rate, since connections load the host.
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                answers.push(answer);
            }
            answers
        })
    });
    let flood: Vec<_> = flood.collect();
    until("the queue is full", || async {
        let metrics = get(entry, "/metrics", &[]).await.ok()?.text();
        metrics.contains("reason=\"shed\"").then_some(())
    })
    .await;
    for n in 0..10 {
        let answer = chat(entry, "maier", &format!("small {n}"), false).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    stop.store(true, Ordering::Relaxed);
    let (mut served, mut refused) = (0, 0);
    for caller in flood {
        for answer in caller.await.unwrap() {
            if answer.status == 200 {
                served += 1;
                continue;
            }
            refused += 1;
            assert!([429, 503].contains(&answer.status), "{}", answer.text());
            assert_eq!(answer.json()["ran"], "no", "{}", answer.text());
            assert_ne!(answer.header("retry-after"), "");
        }
    }
    println!("requests of the flooding account: {served} served, {refused} refused");
    assert!(served > 0 && refused > 0);
}
