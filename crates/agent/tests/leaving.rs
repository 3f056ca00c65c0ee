//! Leaving: nothing new is taken, and nothing that runs is cut off.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fake::{Engine, EngineSettings, Service, ServiceSettings};
use serde_json::json;
use support::{Bench, id, until};
use wire::proto::frame::Body;
use wire::proto::{AttemptState, NodeInfo, Refusal, Role};

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

/// Shuts the agent down in a task; resolves when it is done.
fn shut_down(bench: &Arc<Bench>) -> tokio::task::JoinHandle<()> {
    let bench = Arc::clone(bench);
    tokio::spawn(async move { bench.agent.shutdown().await })
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_with_streams() {
    // The agent is stopped for an upgrade while streams run. Entries and
    // control learn of it, new work is refused, every stream ends whole; a
    // second signal in between changes nothing.
    let engine = engine().await;
    let bench = Arc::new(Bench::engine(&engine, json!({})).await);
    let caller = bench.caller().await;
    for attempt in 0..10 {
        caller.begin(bench.chat(attempt, 300)).await;
    }
    let first = shut_down(&bench);
    until("the entry is told", async || {
        let others = caller.others();
        others
            .iter()
            .any(|body| matches!(body, Body::Leaving(told) if told.target == "advisor-01"))
    })
    .await;
    let second = shut_down(&bench);
    let seen = engine.seen().len();
    assert_eq!(caller.refused(bench.chat(99, 4)).await, Refusal::Leaving);
    assert_eq!(engine.seen().len(), seen);
    for attempt in 0..10 {
        assert!(caller.whole(&id(attempt)).await.ends_with(b"[DONE]\n\n"));
    }
    until("control is told", async || {
        bench.control.last().is_some_and(|node| node.leaving)
    })
    .await;
    assert!(!first.is_finished());
    for attempt in 0..10 {
        caller.done(&id(attempt)).await;
    }
    first.await.unwrap();
    second.await.unwrap();
    caller.link.closed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_keeps_answers() {
    // A reservation has run when its agent is stopped, and its entry is gone.
    // The answer stays until another entry has recorded it.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let bench = Arc::new(Bench::service(&service, json!({})).await);
    let caller = bench.caller().await;
    caller.begin(bench.reservation(1, "lot-1")).await;
    caller.whole(&id(1)).await;
    caller.link.close();
    let shutdown = shut_down(&bench);
    let other = bench.caller().await;
    other.expect(&id(1), true);
    assert_eq!(other.attach(&id(1), 0).await, AttemptState::Ended);
    other.whole(&id(1)).await;
    assert!(!shutdown.is_finished());
    other.done(&id(1)).await;
    shutdown.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_stream_without_end() {
    // A caller never finishes. The shutdown ends at its stated bound.
    let engine = engine().await;
    let bound = json!({"timing": {"shutdown_ms": 300}});
    let bench = Arc::new(Bench::engine(&engine, bound).await);
    let caller = bench.caller().await;
    let endless = wire::proto::Start {
        deadline_ms: 0,
        ..bench.chat(1, 1_000_000)
    };
    caller.begin(endless).await;
    let shutdown = shut_down(&bench);
    until("the shutdown ended", async || shutdown.is_finished()).await;
    caller.link.closed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_by_operator() {
    // An operator drains the target. Its agent learns of that from the member
    // view, takes nothing new and finishes what runs; afterwards it goes on.
    let engine = engine().await;
    let bench = Bench::engine(&engine, json!({})).await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 300)).await;
    let node = |leaving| NodeInfo {
        role: Role::Agent.into(),
        name: "advisor-01".into(),
        incarnation: bench.agent.incarnation(),
        leaving,
        ..NodeInfo::default()
    };
    bench.control.view(vec![node(true)]);
    let mut attempt = 100;
    until("new work is refused", async || {
        attempt += 1;
        caller.start(bench.chat(attempt, 2)).await.refusal() == Refusal::Leaving
    })
    .await;
    caller.whole(&id(1)).await;
    bench.control.view(vec![node(false)]);
    until("work is taken again", async || {
        attempt += 1;
        caller.start(bench.chat(attempt, 2)).await.accepted
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_gone() {
    // An entry dies with its streams open. After the grace time the engine is
    // told to stop them, so that no rank works for nobody; a reservation of
    // the same entry goes on, for its outcome is still wanted.
    let engine = engine().await;
    let grace = json!({"timing": {"grace_ms": 200}});
    let bench = Bench::engine(&engine, grace.clone()).await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 1_000_000)).await;
    until("it runs", async || engine.running() == 1).await;
    caller.link.close();
    until("it was stopped", async || engine.running() == 0).await;

    let cfg = ServiceSettings {
        delay: Duration::from_millis(800),
        ..ServiceSettings::default()
    };
    let service = Service::start(cfg).await.unwrap();
    let bench = Bench::service(&service, grace).await;
    let caller = bench.caller().await;
    caller.begin(bench.reservation(1, "lot-1")).await;
    caller.link.close();
    let other = bench.caller().await;
    other.expect(&id(1), true);
    until("it ended", async || {
        other.bar(&id(1)).await == AttemptState::Ended
    })
    .await;
    other.attach(&id(1), 0).await;
    other.whole(&id(1)).await;
}
