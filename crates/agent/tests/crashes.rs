//! Crashes of the target and the requests that cause them.

mod support;

use fake::{Engine, EngineSettings, Fault};
use serde_json::json;
use support::{Fixture, TcpProxy, id, wait_until};
use wire::AnswerFailure;
use wire::proto::{End, Refusal, Start};

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

fn ending(end: Result<wire::proto::AnswerEnd, AnswerFailure>) -> End {
    match end {
        Ok(end) | Err(AnswerFailure::Aborted(end) | AnswerFailure::Corrupted(end)) => end.end(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_reported_once() {
    // One request crashes the engine while others run. All of them must end as
    // crashed and be reported together, once. If an unrelated request were reported
    // again on its own, it would be taken for the cause.
    let engine = engine().await;
    engine.inject_fault(Fault::CrashOn("poison".into()));
    let fixture = Fixture::engine(&engine, json!({})).await;
    let entry = fixture.connect_entry().await;
    for attempt in 1..=5 {
        entry.start_accepted(fixture.chat(attempt, 100_000)).await;
    }
    wait_until("they run", async || engine.running_requests() == 5).await;
    let body = r#"{"model":"burl-notes","stream":true,"max_tokens":50,"user":"poison"}"#;
    let poison = Start {
        body: body.into(),
        ..fixture.chat(6, 50)
    };
    entry.start_accepted(poison).await;
    for attempt in 1..=6 {
        let (_, end) = entry.wait_ended(&id(attempt)).await;
        assert_eq!(ending(end), End::Crashed);
        // The crash is reported before any attempt ends.
        assert_eq!(fixture.control.crashes().len(), 1);
    }
    let crashes = fixture.control.crashes();
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].len(), 6);
    engine.restart().await.unwrap();
    let next = entry
        .start_until_accepted(|attempt| fixture.chat(attempt, 4))
        .await;
    entry.wait_complete(&next).await;
    assert_eq!(fixture.control.crashes().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_and_quick_restart() {
    // A supervisor restarts the engine so fast that it never refuses a connection.
    // The new instance id still shows the crash.
    let engine = engine().await;
    let proxy = TcpProxy::start(engine.address()).await;
    let fixture = Fixture::engine_via_proxy(&proxy).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 100_000)).await;
    wait_until("it runs", async || engine.running_requests() == 1).await;
    engine.restart().await.unwrap();
    let (_, end) = entry.wait_ended(&id(1)).await;
    assert_eq!(ending(end), End::Crashed);
    wait_until("it is reported", async || {
        fixture.control.crashes().len() == 1
    })
    .await;

    // A connection to the new instance that merely breaks is not a crash.
    let next = entry
        .start_until_accepted(|attempt| fixture.chat(attempt, 100_000))
        .await;
    wait_until("some of it came", async || entry.received_len(&next) > 0).await;
    engine.inject_fault(Fault::CloseAfter(1));
    let (_, end) = entry.wait_ended(&next).await;
    assert_eq!(ending(end), End::Lost);
    assert_eq!(fixture.control.crashes().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn suspects_run_alone() {
    // After a crash its requests are retried at once, before control's quarantine
    // arrives. Only one of them may run at a time, so that a second crash shows
    // which one is the cause.
    let engine = engine().await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 100_000)).await;
    entry.start_accepted(fixture.chat(2, 100_000)).await;
    wait_until("they run", async || engine.running_requests() == 2).await;
    engine.restart().await.unwrap();
    let _ = entry.wait_ended(&id(1)).await;
    let _ = entry.wait_ended(&id(2)).await;
    let again = |attempt, former| Start {
        fingerprint: fixture.chat(former, 1).fingerprint,
        ..fixture.chat(attempt, 100_000)
    };
    let alone = entry
        .start_until_accepted(|attempt| again(attempt, 1))
        .await;
    assert_eq!(entry.start_refused(again(12, 2)).await, Refusal::Suspect);
    entry.start_accepted(fixture.chat(13, 4)).await;
    entry.wait_complete(&id(13)).await;
    entry.cancel(&alone).await;
    let _ = entry.wait_ended(&alone).await;
    entry.start_accepted(again(14, 2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn convicted_never_runs() {
    // Control has convicted a request. The caller sends it again, and it must not
    // reach the engine.
    let engine = engine().await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    let entry = fixture.connect_entry().await;
    fixture
        .control
        .set_quarantine(Vec::new(), vec![fixture.chat(1, 4).fingerprint]);
    let mut attempt = 0x100;
    wait_until("the quarantine has arrived", async || {
        attempt += 0x100;
        let start = Start {
            fingerprint: fixture.chat(1, 4).fingerprint,
            ..fixture.chat(attempt, 4)
        };
        entry.start(start).await.refusal() == Refusal::Suspect
    })
    .await;
    let seen = engine.requests().len();
    assert_eq!(
        entry.start_refused(fixture.chat(1, 4)).await,
        Refusal::Suspect
    );
    assert_eq!(engine.requests().len(), seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_behind_silent_connection() {
    // The target crashes while one connection to it is silent and appears open. The
    // attempt on it must be part of the crash report: if it were reported later on
    // its own, it would be taken for the cause of a second crash.
    let engine = engine().await;
    let proxy = TcpProxy::start(engine.address()).await;
    let fixture = Fixture::engine_via_proxy(&proxy).await;
    let entry = fixture.connect_entry().await;
    proxy.set_hold_open(true);
    entry.start_accepted(fixture.chat(1, 100_000)).await;
    wait_until("it runs", async || engine.running_requests() == 1).await;
    proxy.set_hold_open(false);
    entry.start_accepted(fixture.chat(2, 100_000)).await;
    wait_until("they run", async || engine.running_requests() == 2).await;
    engine.restart().await.unwrap();
    for attempt in 1..=2 {
        let (_, end) = entry.wait_ended(&id(attempt)).await;
        assert_eq!(ending(end), End::Crashed);
    }
    let crashes = fixture.control.crashes();
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].len(), 2);
}
