//! Quarantine of a request that crashes targets; other requests are not affected.

use tokio::task::JoinSet;

use crate::support::{Cluster, ClusterPlan, chat, chat_in_parts, until};

/// Number of crashes after which a part of prompts is known to cause them.
const PART_KNOWN_AFTER: usize = 5;
/// Number of sound requests beside each one with the part.
const SOUND_REQUESTS: usize = 6;
/// Number of crashes that may follow all the same.
const MAX_LATE_CRASHES: usize = 3;

/// Starts the engines that have crashed again; returns their number.
async fn restart_crashed(cluster: &mut Cluster) -> usize {
    let mut crashes = 0;
    for agent in cluster.agents() {
        let fake = format!("fake-{agent}");
        let seen = crate::support::get(cluster.http(&fake), "/seen", &[]).await;
        if seen.is_err() {
            crashes += 1;
            cluster.kill(&fake).await;
            cluster.start_fake(&agent).await;
            cluster.fault(&agent, "crash-on", "poison").await;
        }
    }
    crashes
}

/// Requests with one message in common crash each target that runs one. No two of them are
/// alike, and sound ones have the other messages, too.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_part_convicted() {
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
        let own = format!("burl {round}");
        let poisonous = ["common", "poison", &own];
        let mut sound = JoinSet::new();
        for n in 0..SOUND_REQUESTS {
            let own = format!("{own} {n}");
            sound.spawn(async move {
                let messages = ["common", "notes", &own];
                chat_in_parts(entry, "huber", &messages, false).await
            });
        }
        let answer = chat_in_parts(entry, "huber", &poisonous, false).await;
        sound.join_all().await;
        let restarted = restart_crashed(&mut cluster).await;
        crashes += restarted;
        if restarted == 0 && answer.unwrap().status == 422 {
            break;
        }
        let max_crashes = PART_KNOWN_AFTER + MAX_LATE_CRASHES;
        assert!(crashes <= max_crashes, "{crashes} crashes");
    }
    for entry in ["entry-1", "entry-2"] {
        until(
            "requests with the part are refused at each entry",
            || async {
                let messages = ["common", "poison", "another burl"];
                let answer = chat_in_parts(cluster.http(entry), "huber", &messages, false);
                (answer.await.ok()?.status == 422).then_some(())
            },
        )
        .await;
        until("sound requests are served", || async {
            let messages = ["common", "notes", "another burl"];
            let answer = chat_in_parts(cluster.http(entry), "huber", &messages, false);
            (answer.await.ok()?.status == 200).then_some(())
        })
        .await;
    }
}

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
        crashes += restart_crashed(&mut cluster).await;
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
