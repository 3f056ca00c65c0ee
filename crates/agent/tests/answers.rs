//! Whole answers: each caller gets its own, byte by byte, or a visible break.

mod support;

use fake::{Engine, EngineSettings, Fault, Service, ServiceSettings};
use serde_json::json;
use std::time::Duration;
use support::{Bench, id, until};
use wire::Broken;
use wire::proto::{AttemptState, End};

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

async fn metric(bench: &Bench, name: &str) -> usize {
    let text = support::page(bench.agent.http_address(), "/metrics").await;
    let mut lines = text.lines().filter_map(|line| line.split_once(' '));
    let (_, value) = lines.find(|(given, _)| *given == name).unwrap();
    value.trim().parse().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_whole() {
    let engine = engine().await;
    let bench = Bench::engine(&engine, json!({})).await;
    let caller = bench.caller().await;
    let traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    let mut start = bench.chat(1, 20);
    start.traceparent = traceparent.into();
    caller.begin(start).await;
    let body = caller.whole(&id(1)).await;
    assert_eq!(engine.seen()[0].header("traceparent"), Some(traceparent));
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    let end = caller.ended(&id(1)).await.1.unwrap();
    assert_eq!(end.usage.unwrap().completion_tokens, 20);
    caller.begin(bench.chat(2, 20)).await;
    assert_ne!(caller.whole(&id(2)).await, body);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumed_on_fresh_link() {
    // The link is cut in mid-stream, as a switch that loses track of it does.
    // The caller's stream goes on over a fresh one, no byte twice or missing.
    let engine = engine().await;
    let bench = Bench::engine(&engine, json!({})).await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 400)).await;
    until("some of it came", async || caller.length(&id(1)) > 5_000).await;
    caller.link.close();
    let fresh = caller.redial(bench.agent.link_address()).await;
    let offset = fresh.length(&id(1)) as u64;
    assert_eq!(fresh.attach(&id(1), offset).await, AttemptState::Running);
    let resumed = fresh.whole(&id(1)).await;
    // A second attempt at the same request gives the same text.
    let mut again = bench.chat(2, 400);
    again.body = bench.chat(1, 400).body;
    fresh.begin(again).await;
    assert_eq!(fresh.whole(&id(2)).await, resumed);
    assert_eq!(engine.seen().len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_attached_twice() {
    // An entry takes a slow link for a silent one and attaches over another:
    // frames of both arrive side by side. The caller sees each byte once.
    let engine = engine().await;
    let limits = json!({"limits": {"window_bytes": 1_000_000}});
    let bench = Bench::engine(&engine, limits).await;
    let caller = bench.caller().await;
    caller.expect(&id(1), false);
    caller.begin(bench.chat(1, 300)).await;
    for _ in 0..5 {
        let offset = caller.length(&id(1)) as u64;
        let state = caller.attach(&id(1), offset / 2).await;
        assert_eq!(state, AttemptState::Running);
        until("more came", async || caller.length(&id(1)) as u64 > offset).await;
    }
    let body = caller.whole(&id(1)).await;
    assert_eq!(body.windows(6).filter(|w| w == b"data: ").count(), 302);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_200_at_once() {
    // Two hundred answers share one link. None may hold a byte of another.
    let cfg = EngineSettings {
        limit: 512,
        ..EngineSettings::default()
    };
    let engine = Engine::start(cfg).await.unwrap();
    let limits = json!({"limits": {"concurrent": 512}});
    let bench = Bench::engine(&engine, limits).await;
    let caller = bench.caller().await;
    for attempt in 0..200 {
        caller.begin(bench.chat(attempt, 40)).await;
    }
    // The same requests, each on a link of its own.
    let mut alone = Vec::new();
    for attempt in 0..200 {
        let mut start = bench.chat(1_000 + attempt, 40);
        start.body = bench.chat(attempt, 40).body;
        let link = bench.caller().await;
        link.begin(start).await;
        alone.push(link);
    }
    for (attempt, link) in (0..200).zip(alone) {
        let body = caller.whole(&id(attempt)).await;
        assert!(body.ends_with(b"data: [DONE]\n\n"));
        assert_eq!(link.whole(&id(1_000 + attempt)).await, body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_ended_early() {
    // The engine ends its stream as if it were whole, or closes it in the
    // middle. The caller must see a break, not a short answer.
    let engine = engine().await;
    let bench = Bench::engine(&engine, json!({})).await;
    let caller = bench.caller().await;
    for (attempt, fault) in [(1, Fault::EndEarly(5)), (2, Fault::Cut(5))] {
        engine.fault(fault);
        caller.begin(bench.chat(attempt, 20)).await;
        let (body, end) = caller.ended(&id(attempt)).await;
        assert!(!body.is_empty());
        let Err(Broken::Ended(end)) = end else {
            panic!("taken for whole: {end:?}");
        };
        assert_eq!(end.end(), End::Lost);
        engine.clear();
    }
    assert!(bench.control.crashes().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_silent_engine() {
    // The engine keeps its connection and says nothing more. The attempt is
    // given up after the progress time instead of hanging for ever.
    let engine = engine().await;
    let timing = json!({"timing": {"progress_ms": 300, "question_ms": 200}});
    let bench = Bench::engine(&engine, timing).await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 100_000)).await;
    until("some of it came", async || caller.length(&id(1)) > 100).await;
    engine.fault(Fault::Silent);
    let (_, end) = caller.ended(&id(1)).await;
    assert!(matches!(end, Err(Broken::Ended(end)) if end.end() == End::Lost));
    assert!(bench.control.crashes().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_slow_reader() {
    // The caller stops reading. No more than the window is sent, the engine
    // waits, and memory stays bounded; once the caller reads, all comes.
    let cfg = EngineSettings {
        step: Duration::ZERO,
        ..EngineSettings::default()
    };
    let engine = Engine::start(cfg).await.unwrap();
    let limits = json!({"limits": {"window_bytes": 4096, "answer_bytes": 8192}});
    let bench = Bench::engine(&engine, limits).await;
    let caller = bench.caller().await;
    caller.expect(&id(1), false);
    caller.begin(bench.chat(1, 2_000)).await;
    until("the window is full", async || caller.length(&id(1)) == 4096).await;
    // The engine has written all that it is let: nothing more comes for a while.
    let mut came = 0;
    until("nothing more comes", async || {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let before = std::mem::replace(&mut came, metric(&bench, "agent_answer_bytes_total").await);
        before == came
    })
    .await;
    let held = metric(&bench, "agent_held_bytes").await;
    assert!((4096..8192 + 1024).contains(&held), "{held} bytes held");
    assert_eq!(caller.length(&id(1)), 4096);
    let fresh = caller.redial(bench.agent.link_address()).await;
    let before = fresh.length(&id(1)) as u64;
    until("all came", async || {
        let offset = fresh.length(&id(1)) as u64;
        fresh.attach(&id(1), offset).await;
        fresh.with(&id(1), |taken| taken.end.is_some())
    })
    .await;
    assert!(before > 0);
    assert!(fresh.whole(&id(1)).await.ends_with(b"[DONE]\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn kept_answer_fetched_by_other_entry() {
    // An entry dies after the reservation ran and before it was recorded.
    // Another entry fetches the whole answer; the reservation ran once.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let bench = Bench::service(&service, json!({})).await;
    let first = bench.caller().await;
    first.begin(bench.reservation(1, "lot-4711")).await;
    let body = first.whole(&id(1)).await;
    first.link.close();
    let second = bench.caller().await;
    second.expect(&id(1), true);
    assert_eq!(second.attach(&id(1), 0).await, AttemptState::Ended);
    assert_eq!(second.whole(&id(1)).await, body);
    second.done(&id(1)).await;
    until("it is forgotten", async || {
        second.attach(&id(1), 0).await == AttemptState::Forgotten
    })
    .await;
    assert_eq!(service.count("lot-4711", "/lots"), 1);
}
