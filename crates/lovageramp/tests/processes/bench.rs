//! The load generator: its request plan, its parsing of event streams, and its detection
//! of lost and duplicated calls.
#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck gives its arguments by value"
)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::support::{Cluster, ClusterPlan, Process};
use lovageramp::bench::{Call, Mix, Plan, Resend, SseParser};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

#[test]
fn plan_keeps_its_shares() {
    let plan: Vec<_> = Plan::new(Mix::association(), &[8, 1, 1], 200.0, 5)
        .take(10_000)
        .collect();
    let large = plan.iter().filter(|planned| planned.account == 0).count();
    assert!((7_800..8_200).contains(&large), "{large}");
    let chats = plan
        .iter()
        .filter(|planned| matches!(planned.call, Call::Chat { .. }));
    let chats = chats.count();
    assert!((4_800..5_200).contains(&chats), "{chats}");
    let length = plan[plan.len() - 1].send_after;
    let expected = Duration::from_secs(45)..Duration::from_secs(55);
    assert!(expected.contains(&length), "{length:?}");
}

#[test]
fn plan_own_keys_and_prompts() {
    // Two requests of a plan with the same key or prompt would be indistinguishable at
    // the targets, and a duplicated call would be counted as two calls.
    let mut seen = BTreeSet::new();
    let mut resent = 0;
    for planned in Plan::new(Mix::hotline(), &[1], 100.0, 9).take(5_000) {
        let identity = match planned.call {
            Call::Chat { body, .. } => body.to_vec(),
            Call::Read { .. } => continue,
            Call::Write { key, resend, .. } => {
                resent += u32::from(resend != Resend::Never);
                key.into_bytes()
            }
        };
        assert!(seen.insert(identity));
    }
    assert!(resent > 100, "{resent}");
}

#[test]
fn events_any_cut() {
    // A stream arrives in chunks with arbitrary boundaries. An event split across chunks
    // must be counted once, when it is complete.
    fn property(cuts: Vec<usize>) -> bool {
        let stream = b"data: {\"a\":1}\n\nid: 7\ndata: two\ndata: lines\n\ndata: [DONE]\n\n";
        let mut ends: Vec<usize> = cuts.iter().map(|cut| cut % stream.len()).collect();
        ends.push(stream.len());
        ends.sort_unstable();
        let mut events = SseParser::default();
        let mut found = Vec::new();
        let mut start = 0;
        for end in ends {
            events.push(&stream[start..end]);
            found.extend(events.by_ref());
            start = end;
        }
        found == ["{\"a\":1}", "two\nlines", "[DONE]"]
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(20, 3))
        .tests(500)
        .quickcheck(property as fn(Vec<usize>) -> bool);
}

const CLIENT: &str = env!("CARGO_BIN_EXE_lovageramp");

/// Runs the load generator against a small deployment and returns its figures and its
/// exit code.
async fn run_bench(cluster: &Cluster, fake: SocketAddr, seed: &str) -> (Value, Option<i32>) {
    let bench = tokio::process::Command::new(CLIENT)
        .args([
            "bench",
            "--mix",
            "association",
            "--seconds",
            "4",
            "--rate",
            "30",
        ])
        .args(["--key", "key-of-huber", "--seed", seed, "--json"])
        .args(["--host", &cluster.http("entry-1").to_string()])
        .args(["--seen", &fake.to_string()])
        .output();
    let bench = bench.await.unwrap();
    let figures: Value = serde_json::from_slice(&bench.stdout).unwrap();
    (figures["runs"][0].clone(), bench.status.code())
}

#[tokio::test]
async fn run_finds_doubled_and_lost() {
    // Other runs rely on the load generator to detect duplicated and lost calls. Here
    // calls are duplicated and lost without its knowledge, and it must report them and
    // exit with an error.
    let cluster = Cluster::start(ClusterPlan {
        controls: 1,
        entries: 1,
        engines: 1,
        services: 1,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    let service = cluster.http("fake-desk-01");
    let (figures, code) = run_bench(&cluster, service, "3").await;
    assert_eq!(code, Some(0), "{figures}");
    assert_eq!(
        (&figures["lost"], &figures["doubled"]),
        (&json!(0), &json!(0))
    );
    let done = &figures["kinds"]["model requests"]["done"];
    assert_eq!(
        done, &figures["kinds"]["model requests"]["sent"],
        "{figures}"
    );

    for number in 0..120 {
        let key = format!("association-4-{number}");
        let headers = [("idempotency-key", key.as_str())];
        let sent =
            crate::support::request(service, "POST", "/reservations", &headers, String::new());
        assert_eq!(sent.await.unwrap().status, 200);
    }
    let (figures, code) = run_bench(&cluster, service, "4").await;
    assert_eq!(code, Some(1), "{figures}");
    assert!(figures["doubled"].as_u64() > Some(0), "{figures}");

    // This service has received none of the reservations, so all of them count as lost.
    let log = cluster.folder.path().join("other.log");
    let other = Process::start(CLIENT, &["fake", "service"], &log).await;
    let (figures, code) = run_bench(&cluster, other.http, "5").await;
    assert_eq!(code, Some(1), "{figures}");
    assert!(figures["lost"].as_u64() > Some(0), "{figures}");
}
