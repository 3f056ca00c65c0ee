//! More requests than the targets can do.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::support::{Cluster, ClusterPlan, chat, get, until};

/// Pause of a caller that was refused.
const PAUSE: Duration = Duration::from_millis(100);
/// Callers of the large account, more than all places and the queue hold.
const CALLERS: u32 = 400;

/// One large account sends as fast as it can; a small one sends now and then.
/// In order of arrival the small one's callers would wait behind the flood,
/// and whoever is refused must hear so at once with when to come back.
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
    let over = Arc::new(AtomicBool::new(false));
    let flood = (0..CALLERS).map(|n| {
        let over = Arc::clone(&over);
        tokio::spawn(async move {
            let mut told = Vec::new();
            while !over.load(Ordering::Relaxed) {
                let answer = chat(entry, "huber", &format!("flood {n}"), false).await;
                let answer = answer.unwrap();
                if answer.status != 200 {
                    // Connections are not free of cost for the machine.
                    tokio::time::sleep(PAUSE).await;
                }
                told.push(answer);
            }
            told
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
    over.store(true, Ordering::Relaxed);
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
    println!("of the flood {served} were served and {refused} refused");
    assert!(served > 0 && refused > 0);
}
