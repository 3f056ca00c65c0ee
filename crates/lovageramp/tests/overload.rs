//! More requests than the targets can do.

mod support;

use std::sync::Arc;

use support::{Cluster, ClusterPlan, chat};

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
    cluster.offer().await;
    let entry = cluster.http("entry-1");
    let flood = (0..800).map(|n| {
        tokio::spawn(async move { chat(entry, "huber", &format!("flood {n}"), false).await })
    });
    let flood: Vec<_> = flood.collect();
    for n in 0..10 {
        let answer = chat(entry, "maier", &format!("small {n}"), false).await;
        let answer = answer.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let (mut served, mut refused) = (0, 0);
    for answer in flood {
        let answer = answer.await.unwrap().unwrap();
        if answer.status == 200 {
            served += 1;
            continue;
        }
        refused += 1;
        assert!([429, 503].contains(&answer.status), "{}", answer.text());
        assert_eq!(answer.json()["ran"], "no", "{}", answer.text());
        assert_ne!(answer.header("retry-after"), "");
    }
    println!("of the flood {served} were served and {refused} refused");
    assert!(served > 0 && refused > 0);
}
