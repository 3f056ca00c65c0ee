//! Each caller gets its own complete answer, or an error if it is truncated.

mod support;

use fake::{Engine, EngineSettings, Fault, Service, ServiceSettings};
use serde_json::json;
use std::time::Duration;
use support::{Fixture, id, wait_until};
use wire::AnswerFailure;
use wire::proto::{AttemptState, End};

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

async fn metric(fixture: &Fixture, name: &str) -> usize {
    let text = support::page(fixture.agent.http_address(), "/metrics").await;
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let (_, value) = lines.find(|(given, _)| *given == name).unwrap();
    value.trim().parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whole() {
    let engine = engine().await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    let entry = fixture.connect_entry().await;
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut start = fixture.chat(1, 20);
    start.traceparent = traceparent.into();
    entry.start_accepted(start).await;
    let body = entry.wait_complete(&id(1)).await;
    assert_eq!(
        engine.requests()[0].header("traceparent"),
        Some(traceparent)
    );
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    let end = entry.wait_ended(&id(1)).await.1.unwrap();
    assert_eq!(end.usage.unwrap().completion_tokens, 20);
    entry.start_accepted(fixture.chat(2, 20)).await;
    assert_ne!(entry.wait_complete(&id(2)).await, body);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_on_fresh_link() {
    // The link breaks in mid-stream, as when a network device drops its state. The
    // stream continues on a new link without a duplicate or missing byte.
    let engine = engine().await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 400)).await;
    wait_until("some of it came", async || {
        entry.received_len(&id(1)) > 5_000
    })
    .await;
    entry.link.close();
    let fresh = entry.reconnect(fixture.agent.link_address()).await;
    let offset = fresh.received_len(&id(1)) as u64;
    assert_eq!(fresh.attach(&id(1), offset).await, AttemptState::Running);
    let resumed = fresh.wait_complete(&id(1)).await;
    // A second attempt at the same request returns the same text.
    let mut again = fixture.chat(2, 400);
    again.body = fixture.chat(1, 400).body;
    fresh.start_accepted(again).await;
    assert_eq!(fresh.wait_complete(&id(2)).await, resumed);
    assert_eq!(engine.requests().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_attached_twice() {
    // An entry mistakes a slow link for a dead one and attaches again: frames of
    // both arrive interleaved. The caller must see each byte once.
    let engine = engine().await;
    let limits = json!({"limits": {"window_bytes": 1_000_000}});
    let fixture = Fixture::engine(&engine, limits).await;
    let entry = fixture.connect_entry().await;
    entry.expect_answer(&id(1), false);
    entry.start_accepted(fixture.chat(1, 300)).await;
    for _ in 0..5 {
        let offset = entry.received_len(&id(1)) as u64;
        let state = entry.attach(&id(1), offset / 2).await;
        assert_eq!(state, AttemptState::Running);
        wait_until("more came", async || {
            entry.received_len(&id(1)) as u64 > offset
        })
        .await;
    }
    let body = entry.wait_complete(&id(1)).await;
    assert_eq!(body.windows(6).filter(|w| w == b"data: ").count(), 302);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_200_at_once() {
    // Two hundred answers share one link. None may contain a byte of another.
    let cfg = EngineSettings {
        max_running: 512,
        ..EngineSettings::default()
    };
    let engine = Engine::start(cfg).await.unwrap();
    let limits = json!({"limits": {"concurrent": 512}});
    let fixture = Fixture::engine(&engine, limits).await;
    let entry = fixture.connect_entry().await;
    for attempt in 0..200 {
        entry.start_accepted(fixture.chat(attempt, 40)).await;
    }
    // The same requests, each on its own link.
    let mut alone = Vec::new();
    for attempt in 0..200 {
        let mut start = fixture.chat(1_000 + attempt, 40);
        start.body = fixture.chat(attempt, 40).body;
        let link = fixture.connect_entry().await;
        link.start_accepted(start).await;
        alone.push(link);
    }
    for (attempt, link) in (0..200).zip(alone) {
        let body = entry.wait_complete(&id(attempt)).await;
        assert!(body.ends_with(b"data: [DONE]\n\n"));
        assert_eq!(link.wait_complete(&id(1_000 + attempt)).await, body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_ended_early() {
    // The engine ends its stream cleanly but early, or closes the connection in the
    // middle. The caller must get an error, not a truncated answer.
    let engine = engine().await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    let entry = fixture.connect_entry().await;
    for (attempt, fault) in [(1, Fault::EndEarly(5)), (2, Fault::CloseAfter(5))] {
        engine.inject_fault(fault);
        entry.start_accepted(fixture.chat(attempt, 20)).await;
        let (body, end) = entry.wait_ended(&id(attempt)).await;
        assert!(!body.is_empty());
        let Err(AnswerFailure::Aborted(end)) = end else {
            panic!("truncated answer passed for complete: {end:?}");
        };
        assert_eq!(end.end(), End::Lost);
        engine.clear_faults();
    }
    assert!(fixture.control.crashes().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_engine() {
    // The engine keeps its connection open and sends nothing more. The attempt must
    // end after the progress timeout instead of hanging.
    let engine = engine().await;
    let timing = json!({"timing": {"progress_ms": 300, "question_ms": 200}});
    let fixture = Fixture::engine(&engine, timing).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 100_000)).await;
    wait_until("some of it came", async || entry.received_len(&id(1)) > 100).await;
    engine.inject_fault(Fault::Unresponsive);
    let (_, end) = entry.wait_ended(&id(1)).await;
    assert!(matches!(end, Err(AnswerFailure::Aborted(end)) if end.end() == End::Lost));
    assert!(fixture.control.crashes().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_slow_reader() {
    // The caller stops reading. No more than the window is sent, the engine waits,
    // and memory stays bounded. Once the caller reads again, the rest arrives.
    let cfg = EngineSettings {
        step_time: Duration::ZERO,
        ..EngineSettings::default()
    };
    let engine = Engine::start(cfg).await.unwrap();
    let limits = json!({"limits": {"window_bytes": 4096, "answer_bytes": 8192}});
    let fixture = Fixture::engine(&engine, limits).await;
    let entry = fixture.connect_entry().await;
    entry.expect_answer(&id(1), false);
    entry.start_accepted(fixture.chat(1, 2_000)).await;
    wait_until("the window is full", async || {
        entry.received_len(&id(1)) == 4096
    })
    .await;
    // Wait until the engine is blocked: no more bytes arrive for a while.
    let mut came = 0;
    wait_until("no more bytes arrive", async || {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = std::mem::replace(
            &mut came,
            metric(&fixture, "agent_answer_bytes_total").await,
        );
        before == came
    })
    .await;
    let held = metric(&fixture, "agent_held_bytes").await;
    assert!((4096..8192 + 1024).contains(&held), "{held} bytes held");
    assert_eq!(entry.received_len(&id(1)), 4096);
    let fresh = entry.reconnect(fixture.agent.link_address()).await;
    let before = fresh.received_len(&id(1)) as u64;
    wait_until("all bytes arrived", async || {
        let offset = fresh.received_len(&id(1)) as u64;
        fresh.attach(&id(1), offset).await;
        fresh.with_answer(&id(1), |answer| answer.end.is_some())
    })
    .await;
    assert!(before > 0);
    assert!(fresh.wait_complete(&id(1)).await.ends_with(b"[DONE]\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_answer_fetched_by_other_entry() {
    // An entry dies after the reservation ran and before its answer was recorded.
    // Another entry fetches the complete answer, and the reservation runs once.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let fixture = Fixture::service(&service, json!({})).await;
    let first = fixture.connect_entry().await;
    first
        .start_accepted(fixture.reservation(1, "lot-4711"))
        .await;
    let body = first.wait_complete(&id(1)).await;
    first.link.close();
    let second = fixture.connect_entry().await;
    second.expect_answer(&id(1), true);
    assert_eq!(second.attach(&id(1), 0).await, AttemptState::Ended);
    assert_eq!(second.wait_complete(&id(1)).await, body);
    second.release(&id(1)).await;
    wait_until("it is forgotten", async || {
        second.attach(&id(1), 0).await == AttemptState::Forgotten
    })
    .await;
    assert_eq!(service.request_count("lot-4711", "/lots"), 1);
}
