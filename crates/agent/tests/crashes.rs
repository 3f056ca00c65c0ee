//! Crashes of the target, and the requests that cause them.

mod support;

use fake::{Engine, EngineSettings, Fault};
use serde_json::json;
use support::{Bench, Relay, id, until};
use wire::Broken;
use wire::proto::{End, Refusal, Start};

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

fn ending(end: Result<wire::proto::AnswerEnd, Broken>) -> End {
    match end {
        Ok(end) | Err(Broken::Ended(end) | Broken::Damaged(end)) => end.end(),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_reported_once() {
    // One request crashes the engine while others run beside it. All of them
    // end as crashed and are reported together, once; were a bystander to be
    // reported again on its own, it would be taken for the cause.
    let engine = engine().await;
    engine.fault(Fault::CrashOn("poison".into()));
    let bench = Bench::engine(&engine, json!({})).await;
    let caller = bench.caller().await;
    for attempt in 1..=5 {
        caller.begin(bench.chat(attempt, 100_000)).await;
    }
    until("they run", async || engine.running() == 5).await;
    let body = r#"{"model":"burl-notes","stream":true,"max_tokens":50,"user":"poison"}"#;
    let poison = Start {
        body: body.into(),
        ..bench.chat(6, 50)
    };
    caller.begin(poison).await;
    for attempt in 1..=6 {
        let (_, end) = caller.ended(&id(attempt)).await;
        assert_eq!(ending(end), End::Crashed);
        // Whoever hears of the crash finds its request suspect already.
        assert_eq!(bench.control.crashes().len(), 1);
    }
    let crashes = bench.control.crashes();
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].len(), 6);
    engine.restart().await.unwrap();
    let next = caller.begin_at_last(|attempt| bench.chat(attempt, 4)).await;
    caller.whole(&next).await;
    assert_eq!(bench.control.crashes().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_and_quick_restart() {
    // A supervisor restarts the engine so fast that it never refuses a
    // connection. It is another instance all the same, and that is a crash.
    let engine = engine().await;
    let relay = Relay::before(engine.address()).await;
    let bench = Bench::relayed(&relay).await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 100_000)).await;
    until("it runs", async || engine.running() == 1).await;
    engine.restart().await.unwrap();
    let (_, end) = caller.ended(&id(1)).await;
    assert_eq!(ending(end), End::Crashed);
    until("it is reported", async || {
        bench.control.crashes().len() == 1
    })
    .await;

    // Another instance came after. A connection of it that merely breaks is
    // no crash.
    let next = caller
        .begin_at_last(|attempt| bench.chat(attempt, 100_000))
        .await;
    until("some of it came", async || caller.length(&next) > 0).await;
    engine.fault(Fault::Cut(1));
    let (_, end) = caller.ended(&next).await;
    assert_eq!(ending(end), End::Lost);
    assert_eq!(bench.control.crashes().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn suspects_run_alone() {
    // After a crash its requests are sent again at once, before control's
    // quarantine has come round. Only one of them may run at a time, so that
    // a second crash shows which one it is.
    let engine = engine().await;
    let bench = Bench::engine(&engine, json!({})).await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 100_000)).await;
    caller.begin(bench.chat(2, 100_000)).await;
    until("they run", async || engine.running() == 2).await;
    engine.restart().await.unwrap();
    let _ = caller.ended(&id(1)).await;
    let _ = caller.ended(&id(2)).await;
    let again = |attempt, former| Start {
        fingerprint: bench.chat(former, 1).fingerprint,
        ..bench.chat(attempt, 100_000)
    };
    let alone = caller.begin_at_last(|attempt| again(attempt, 1)).await;
    assert_eq!(caller.refused(again(12, 2)).await, Refusal::Suspect);
    caller.begin(bench.chat(13, 4)).await;
    caller.whole(&id(13)).await;
    caller.cancel(&alone).await;
    let _ = caller.ended(&alone).await;
    caller.begin(again(14, 2)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn convicted_never_runs() {
    // Control has convicted a request. Its caller sends it again, and the
    // engine must not see it.
    let engine = engine().await;
    let bench = Bench::engine(&engine, json!({})).await;
    let caller = bench.caller().await;
    bench
        .control
        .quarantine(Vec::new(), vec![bench.chat(1, 4).fingerprint]);
    let mut attempt = 0x100;
    until("the quarantine has come", async || {
        attempt += 0x100;
        let start = Start {
            fingerprint: bench.chat(1, 4).fingerprint,
            ..bench.chat(attempt, 4)
        };
        caller.start(start).await.refusal() == Refusal::Suspect
    })
    .await;
    let seen = engine.seen().len();
    assert_eq!(caller.refused(bench.chat(1, 4)).await, Refusal::Suspect);
    assert_eq!(engine.seen().len(), seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn crash_behind_silent_connection() {
    // The target crashes while one connection to it is silent and seems to
    // stand. The attempt on it ended with the crash like the others; reported
    // later on its own, it would be taken for the cause of a second crash.
    let engine = engine().await;
    let relay = Relay::before(engine.address()).await;
    let bench = Bench::relayed(&relay).await;
    let caller = bench.caller().await;
    relay.set_deaf(true);
    caller.begin(bench.chat(1, 100_000)).await;
    until("it runs", async || engine.running() == 1).await;
    relay.set_deaf(false);
    caller.begin(bench.chat(2, 100_000)).await;
    until("they run", async || engine.running() == 2).await;
    engine.restart().await.unwrap();
    for attempt in 1..=2 {
        let (_, end) = caller.ended(&id(attempt)).await;
        assert_eq!(ending(end), End::Crashed);
    }
    let crashes = bench.control.crashes();
    assert_eq!(crashes.len(), 1);
    assert_eq!(crashes[0].len(), 2);
}
