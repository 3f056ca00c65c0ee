//! Shutdown and drain: new work is refused, and running work is finished.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fake::{Engine, EngineSettings, Service, ServiceSettings};
use serde_json::json;
use support::{Fixture, id, wait_until};
use wire::proto::frame::Body;
use wire::proto::{AttemptState, NodeInfo, Refusal, Role};

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

/// Shuts the agent down in a task that ends with the shutdown.
fn shut_down(fixture: &Arc<Fixture>) -> tokio::task::JoinHandle<()> {
    let fixture = Arc::clone(fixture);
    tokio::spawn(async move { fixture.agent.shutdown().await })
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_with_streams() {
    // The agent is shut down for an upgrade while streams run. Entries and control
    // are notified, new work is refused and every stream completes. A second
    // shutdown request in between changes nothing.
    let engine = engine().await;
    let fixture = Arc::new(Fixture::engine(&engine, json!({})).await);
    let entry = fixture.connect_entry().await;
    for attempt in 0..10 {
        entry.start_accepted(fixture.chat(attempt, 300)).await;
    }
    let first = shut_down(&fixture);
    wait_until("the entry is told", async || {
        let others = entry.other_messages();
        others
            .iter()
            .any(|body| matches!(body, Body::Leaving(told) if told.target == "advisor-01"))
    })
    .await;
    let second = shut_down(&fixture);
    // An attempt is accepted before its request reaches the engine.
    wait_until("the engine has all requests", async || {
        engine.requests().len() == 10
    })
    .await;
    let seen = engine.requests().len();
    assert_eq!(
        entry.start_refused(fixture.chat(99, 4)).await,
        Refusal::Leaving
    );
    assert_eq!(engine.requests().len(), seen);
    for attempt in 0..10 {
        assert!(
            entry
                .wait_complete(&id(attempt))
                .await
                .ends_with(b"[DONE]\n\n")
        );
    }
    wait_until("control is told", async || {
        fixture.control.last_node().is_some_and(|node| node.leaving)
    })
    .await;
    assert!(!first.is_finished());
    for attempt in 0..10 {
        entry.release(&id(attempt)).await;
    }
    first.await.unwrap();
    second.await.unwrap();
    entry.link.closed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_keeps_answers() {
    // A reservation has run and its entry is gone when the agent is shut down. The
    // answer is kept until another entry has recorded it.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let fixture = Arc::new(Fixture::service(&service, json!({})).await);
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.reservation(1, "lot-1")).await;
    entry.wait_complete(&id(1)).await;
    entry.link.close();
    let shutdown = shut_down(&fixture);
    let other = fixture.connect_entry().await;
    other.expect_answer(&id(1), true);
    assert_eq!(other.attach(&id(1), 0).await, AttemptState::Ended);
    other.wait_complete(&id(1)).await;
    assert!(!shutdown.is_finished());
    other.release(&id(1)).await;
    shutdown.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn shutdown_stream_without_end() {
    // A stream never ends. The shutdown must end after its timeout.
    let engine = engine().await;
    let bound = json!({"timing": {"shutdown_ms": 300}});
    let fixture = Arc::new(Fixture::engine(&engine, bound).await);
    let entry = fixture.connect_entry().await;
    let endless = wire::proto::Start {
        deadline_ms: 0,
        ..fixture.chat(1, 1_000_000)
    };
    entry.start_accepted(endless).await;
    let shutdown = shut_down(&fixture);
    wait_until("the shutdown ended", async || shutdown.is_finished()).await;
    entry.link.closed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn drained_by_operator() {
    // An operator drains the target. The agent learns of it from the member view,
    // refuses new work and finishes running work. After the drain is undone, it
    // accepts work again.
    let engine = engine().await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 300)).await;
    let node = |leaving| NodeInfo {
        role: Role::Agent.into(),
        name: "advisor-01".into(),
        incarnation: fixture.agent.incarnation(),
        leaving,
        ..NodeInfo::default()
    };
    fixture.control.set_view(vec![node(true)]);
    let mut attempt = 100;
    wait_until("new work is refused", async || {
        attempt += 1;
        entry.start(fixture.chat(attempt, 2)).await.refusal() == Refusal::Leaving
    })
    .await;
    entry.wait_complete(&id(1)).await;
    fixture.control.set_view(vec![node(false)]);
    wait_until("work is accepted again", async || {
        attempt += 1;
        entry.start(fixture.chat(attempt, 2)).await.accepted
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_gone() {
    // An entry dies with open streams. After the grace period the engine is told to
    // stop them, so that no rank does useless work. A reservation of the same entry
    // continues, because its outcome is still needed.
    let engine = engine().await;
    let grace = json!({"timing": {"grace_ms": 200}});
    let fixture = Fixture::engine(&engine, grace.clone()).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 1_000_000)).await;
    wait_until("it runs", async || engine.running_requests() == 1).await;
    entry.link.close();
    wait_until("it was stopped", async || engine.running_requests() == 0).await;

    let cfg = ServiceSettings {
        delay: Duration::from_millis(800),
        ..ServiceSettings::default()
    };
    let service = Service::start(cfg).await.unwrap();
    let fixture = Fixture::service(&service, grace).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.reservation(1, "lot-1")).await;
    entry.link.close();
    let other = fixture.connect_entry().await;
    other.expect_answer(&id(1), true);
    wait_until("it ended", async || {
        other.bar(&id(1)).await == AttemptState::Ended
    })
    .await;
    other.attach(&id(1), 0).await;
    other.wait_complete(&id(1)).await;
}
