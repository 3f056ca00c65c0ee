//! Quarantine of a request that crashes targets; other requests are not affected.

use crate::support::{Cluster, ClusterPlan, chat, until};

/// One request crashes each target that runs it, and its caller retries it through every
/// entry. After the second crash it must be refused at every entry, and requests that ran
/// concurrently must not be.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_convicted() {
    let mut cluster = Cluster::start(ClusterPlan {
        controls: 3,
        entries: 2,
        engines: 3,
        services: 0,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    for agent in cluster.agents() {
        cluster.fault(&agent, "crash-on", "poison").await;
    }
    let mut crashes = 0;
    for round in 0..40 {
        let entry = cluster.http(&format!("entry-{}", round % 2 + 1));
        let answer = chat(entry, "huber", "poison", false).await.unwrap();
        assert_ne!(answer.status, 200);
        if answer.status == 422 {
            break;
        }
        for agent in cluster.agents() {
            let fake = format!("fake-{agent}");
            let alive = crate::support::get(cluster.http(&fake), "/seen", &[])
                .await
                .is_ok();
            if !alive {
                crashes += 1;
                cluster.kill(&fake).await;
                cluster.start_fake(&agent).await;
                cluster.fault(&agent, "crash-on", "poison").await;
            }
        }
    }
    assert!(crashes <= 2, "{crashes} crashes");
    for entry in ["entry-1", "entry-2"] {
        until("the request is refused at each entry", || async {
            let answer = chat(cluster.http(entry), "huber", "poison", false)
                .await
                .ok()?;
            (answer.status == 422).then_some(())
        })
        .await;
        until("other requests are served", || async {
            let answer = chat(cluster.http(entry), "maier", "a harmless note", false)
                .await
                .ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    let list = cluster
        .client("entry-1", &["quarantine", "list", "--json"])
        .await;
    let list: serde_json::Value = serde_json::from_slice(&list.stdout).unwrap();
    assert_eq!(list["convicted"].as_array().unwrap().len(), 1, "{list}");
}
