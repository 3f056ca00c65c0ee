//! Failures of non-repeatable calls.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::json;
use sha2::{Digest, Sha256};
use wire::proto::frame::Body;
use wire::proto::{AttachReply, AttemptState, BarReply, Claim, Start, command};

use crate::support::{
    Caller, Cluster, KEY, Reply, Script, StubAgent, accept, answer, eventually, send_reply,
};

async fn cluster_offering_desks() -> (Cluster, entry::Entry, Caller) {
    let mut cluster = Cluster::start().await;
    cluster.offer(&[], &["desk-01", "desk-02"]).await;
    let timing = json!({"beat_ms": 200, "start_ms": 500, "link_grace_ms": 1500});
    let entry = cluster.start_entry("entry-1", timing, json!({})).await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    (cluster, entry, caller)
}

async fn retry_until_target_known(caller: &Caller, key: &str) -> Reply {
    eventually("a target is chosen", async || {
        let reply = caller.reserve(key, "{}").await;
        let unknown = reply.status == 503 && reply.text().contains("no live target");
        (!unknown).then_some(reply)
    })
    .await
}

/// Answers attach and bar requests with one state.
fn reply_with_state(stub: &StubAgent, incoming: &wire::Incoming, state: AttemptState) {
    match &incoming.body {
        Body::Attach(attach) => {
            let reply = AttachReply {
                attempt: attach.attempt.clone(),
                state: state.into(),
            };
            let frames = if state == AttemptState::Ended {
                answer(&attach.attempt, "application/json", "{\"lot\":17}")
            } else {
                Vec::new()
            };
            send_reply(incoming, Body::AttachReply(reply), frames);
        }
        Body::Bar(bar) => {
            let state = if state == AttemptState::Absent {
                AttemptState::Barred
            } else {
                state
            };
            let reply = BarReply {
                attempt: bar.attempt.clone(),
                state: state.into(),
                incarnation: stub.incarnation,
            };
            send_reply(incoming, Body::BarReply(reply), Vec::new());
        }
        _ => {}
    }
}

pub fn script_with_state(state: AttemptState, frames: fn(&Start) -> Vec<Body>) -> Script {
    Arc::new(move |stub, incoming| match &incoming.body {
        Body::Start(start) => send_reply(incoming, accept(start), frames(start)),
        _ => reply_with_state(stub, incoming, state),
    })
}

/// Claims a key as an entry does that crashes right afterwards.
pub async fn claim_as_crashed_entry(stub: &StubAgent, incarnation: u64, key: &str) -> Bytes {
    let digest = |parts: &[&[u8]]| {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Bytes::copy_from_slice(&hasher.finalize())
    };
    let attempt = Bytes::from_static(b"dead entry's one");
    let claim = Claim {
        account: "saegewerk-huber".to_owned(),
        key: Bytes::copy_from_slice(key.as_bytes()),
        digest: digest(&[b"POST", b"/reservations", b"{}"]),
        attempt: attempt.clone(),
        target: stub.name.clone(),
        incarnation,
        service: "order-desk".to_owned(),
    };
    let within = std::time::Duration::from_secs(20);
    let outcome = stub.follower.propose(command::Body::Claim(claim), within);
    assert!(outcome.await.body.is_some());
    attempt
}

/// The host of the desk crashes while it runs a reservation, so its outcome can never
/// be known. Each resend must say so, and none may run it again.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_agent_restarted() {
    let (cluster, _entry, caller) = cluster_offering_desks().await;
    let script = script_with_state(AttemptState::Absent, |_| Vec::new());
    let first = StubAgent::desk(&cluster, "desk-01", Arc::clone(&script)).await;
    let restart = async {
        eventually("the call runs", async || {
            (!first.starts().is_empty()).then_some(())
        })
        .await;
        StubAgent::desk(&cluster, "desk-01", script).await
    };
    let (reply, second) = tokio::join!(retry_until_target_known(&caller, "lot-17"), restart);
    assert_eq!((reply.status, reply.ran().as_str()), (409, "unknown"));
    let again = caller.reserve("lot-17", "{}").await;
    assert_eq!((again.status, again.ran().as_str()), (409, "unknown"));
    assert!(!again.headers.contains_key("retry-after"));
    assert_eq!(first.starts().len() + second.starts().len(), 1);
}

/// An entry claims a key and crashes before it sends anything. The resend through
/// another entry bars that attempt, so that it can never start, and then runs.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_claimed_and_never_started() {
    let (cluster, _entry, caller) = cluster_offering_desks().await;
    let script = script_with_state(AttemptState::Absent, |start| {
        answer(&start.attempt, "application/json", "{\"lot\":17}")
    });
    let stub = StubAgent::desk(&cluster, "desk-01", script).await;
    let crashed_attempt = claim_as_crashed_entry(&stub, stub.incarnation, "lot-17").await;
    let reply = retry_until_target_known(&caller, "lot-17").await;
    assert_eq!((reply.status, reply.text().as_str()), (200, "{\"lot\":17}"));
    let barred = stub.received_matching(|body| match body {
        Body::Bar(bar) => Some(bar.attempt.clone()),
        _ => None,
    });
    assert_eq!(barred, std::slice::from_ref(&crashed_attempt));
    let starts = stub.starts();
    assert_eq!(starts.len(), 1);
    assert_ne!(starts[0].attempt, crashed_attempt);
}

/// An entry crashes after it has started a call. The resend attaches to the attempt and
/// records its answer instead of running the call again.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_started_by_crashed_entry() {
    let (cluster, _entry, caller) = cluster_offering_desks().await;
    let script = script_with_state(AttemptState::Ended, |_| Vec::new());
    let stub = StubAgent::desk(&cluster, "desk-01", script).await;
    claim_as_crashed_entry(&stub, stub.incarnation, "lot-17").await;
    let reply = retry_until_target_known(&caller, "lot-17").await;
    assert_eq!((reply.status, reply.text().as_str()), (200, "{\"lot\":17}"));
    let again = caller.reserve("lot-17", "{}").await;
    assert_eq!(again.body, reply.body);
    assert!(stub.starts().is_empty());
    let recorded = stub.received_matching(|body| match body {
        Body::Progress(progress) if progress.done => Some(()),
        _ => None,
    });
    assert_eq!(recorded.len(), 1);
}

/// The caller of a reservation disconnects while it runs. The outcome is recorded
/// nevertheless, and the resend gets it.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_caller_disconnects() {
    let (cluster, _entry, caller) = cluster_offering_desks().await;
    let service = fake::ServiceSettings {
        delay: std::time::Duration::from_millis(800),
        ..fake::ServiceSettings::default()
    };
    let service = fake::Service::start(service).await.unwrap();
    let mut cluster = cluster;
    cluster
        .start_agent("desk-01", "order-desk", service.address())
        .await;
    caller.until_service_served().await;
    let call = {
        let caller = caller.clone();
        tokio::spawn(async move { caller.reserve("lot-17", "{}").await })
    };
    eventually("the call runs", async || {
        (service.request_count("lot-17", "/reservations") == 1).then_some(())
    })
    .await;
    call.abort();
    let again = caller.reserve("lot-17", "{}").await;
    assert_eq!(again.status, 200, "{}", again.text());
    assert_eq!(service.request_count("lot-17", "/reservations"), 1);
}

/// An entry and the agent's host crash together while a call runs. The new incarnation
/// of the agent does not know the attempt. That it bars it says nothing about the
/// previous incarnation, so the key must not be released.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_claimed_at_previous_incarnation() {
    let (cluster, _entry, caller) = cluster_offering_desks().await;
    let script = script_with_state(AttemptState::Absent, |start| {
        answer(&start.attempt, "application/json", "{}")
    });
    let stub = StubAgent::desk(&cluster, "desk-01", script).await;
    claim_as_crashed_entry(&stub, stub.incarnation ^ 1, "lot-17").await;
    let reply = retry_until_target_known(&caller, "lot-17").await;
    assert_eq!((reply.status, reply.ran().as_str()), (409, "unknown"));
    assert!(stub.starts().is_empty());
}
