//! Bars, restarts and each refusal, checked against what reached the target.

mod support;

use std::time::Duration;

use fake::{Engine, EngineSettings, Fault, Service, ServiceSettings};
use serde_json::json;
use support::{Bench, Caller, id, until};
use tokio::time::sleep;
use wire::proto::frame::Body;
use wire::proto::{AttemptState, End, Refusal};

const PATIENCE: Duration = Duration::from_secs(30);

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

/// Starts one attempt after the other until one is refused for this reason.
async fn refused_at_last(bench: &Bench, caller: &Caller, refusal: Refusal) {
    let mut attempt = 1_000;
    until("attempts are refused", async || {
        attempt += 1;
        caller.start(bench.chat(attempt, 4)).await.refusal() == refusal
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn start_each_refusal() {
    // An entry is told "not run" for every reason the agent has. The target
    // must not have seen any of them.
    let engine = engine().await;
    let limits = json!({"limits": {"concurrent": 1}});
    let bench = Bench::engine(&engine, limits).await;
    let caller = bench.caller().await;
    let chat = || bench.chat(7, 4);

    let other = wire::proto::Start {
        incarnation: 1,
        ..chat()
    };
    assert_eq!(caller.refused(other).await, Refusal::Incarnation);
    let newer = wire::proto::Start { note: 9, ..chat() };
    assert_eq!(caller.refused(newer).await, Refusal::Note);
    let older = wire::proto::Start { note: 0, ..chat() };
    assert_eq!(caller.refused(older).await, Refusal::Note);
    let group = wire::proto::Start {
        group: "other".into(),
        ..chat()
    };
    assert_eq!(caller.refused(group).await, Refusal::NotOffered);
    let model = wire::proto::Start {
        model: "other".into(),
        ..chat()
    };
    assert_eq!(caller.refused(model).await, Refusal::NotOffered);
    let nameless = wire::proto::Start {
        attempt: "x".into(),
        ..chat()
    };
    assert_eq!(caller.refused(nameless).await, Refusal::NotOffered);
    assert_eq!(caller.bar(&id(7)).await, AttemptState::Barred);
    assert_eq!(caller.refused(chat()).await, Refusal::Barred);
    assert!(engine.seen().is_empty());

    caller.begin(bench.chat(8, 100_000)).await;
    assert_eq!(caller.refused(bench.chat(9, 4)).await, Refusal::Full);
    caller.cancel(&id(8)).await;
    let (_, end) = caller.ended(&id(8)).await;
    assert!(end.is_err());
    engine.fault(Fault::Die);
    refused_at_last(&bench, &caller, Refusal::Unhealthy).await;
    let refused = engine.seen().into_iter().filter(|seen| {
        let request = seen.header("x-request-id").unwrap_or_default();
        request.starts_with("request-7-") || request.starts_with("request-9-")
    });
    assert_eq!(refused.count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_withdrawn_target() {
    // A note withdraws the target while a stream runs on it. Nothing new is
    // taken, and the stream is finished.
    let engine = engine().await;
    let bench = Bench::engine(&engine, json!({})).await;
    let caller = bench.caller().await;
    caller.begin(bench.chat(1, 100)).await;
    bench.control.withdraw("advisor-01");
    refused_at_last(&bench, &caller, Refusal::NotOffered).await;
    assert!(caller.whole(&id(1)).await.ends_with(b"[DONE]\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn start_newer_note_refreshes() {
    // The entry knows a note that the agent hasn't fetched. It is refused once
    // and the agent fetches the note at once, not only when a renewal is due.
    let engine = engine().await;
    let slow = json!({"timing": {"renew_ms": 500}});
    let bench = Bench::engine(&engine, slow).await;
    let caller = bench.caller().await;
    bench.control.withdraw("desk-01");
    let old = wire::proto::Start {
        note: 1,
        ..bench.chat(1, 4)
    };
    let reply = caller.start(old).await;
    assert!(reply.accepted || reply.refusal() == Refusal::Note);
    until("the agent has the note", async || {
        caller.start(bench.chat(2, 4)).await.accepted
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn start_without_any_lease() {
    // Control can't be reached and the lease runs out. The agent must not go
    // on by a note that may no longer be in force, unless the entry knows.
    let engine = engine().await;
    let cut_off = Bench::engine_leased(&engine, 300).await;
    let caller = cut_off.caller().await;
    cut_off.control.resign();
    refused_at_last(&cut_off, &caller, Refusal::Lease).await;
    let seen = engine.seen().len();
    assert_eq!(caller.refused(cut_off.chat(2, 4)).await, Refusal::Lease);
    let leased = wire::proto::Start {
        entry_leased: true,
        ..cut_off.chat(3, 4)
    };
    caller.begin(leased).await;
    caller.whole(&id(3)).await;
    assert_eq!(engine.seen().len(), seen + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bar_before_start() {
    // An entry dies between its claim and its start. Another one bars the
    // attempt and frees the key; the start, held up on its way, arrives after
    // that and must not run.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let bench = Bench::service(&service, json!({})).await;
    let (late, other) = (bench.caller().await, bench.caller().await);
    assert_eq!(other.bar(&id(1)).await, AttemptState::Barred);
    let refusal = late.refused(bench.reservation(1, "lot-1")).await;
    assert_eq!(refusal, Refusal::Barred);
    other.begin(bench.reservation(2, "lot-1")).await;
    other.whole(&id(2)).await;
    assert_eq!(service.count("lot-1", "/lots"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bar_after_start() {
    // The bar comes too late: the reservation runs, has ended, or is recorded
    // already. It must never be called barred then.
    let cfg = ServiceSettings {
        delay: Duration::from_millis(300),
        ..ServiceSettings::default()
    };
    let service = Service::start(cfg).await.unwrap();
    let bench = Bench::service(&service, json!({})).await;
    let caller = bench.caller().await;
    caller.begin(bench.reservation(1, "lot-1")).await;
    assert_eq!(caller.bar(&id(1)).await, AttemptState::Running);
    // A cancellation doesn't stop a call that may not be repeated.
    caller.cancel(&id(1)).await;
    caller.whole(&id(1)).await;
    assert_eq!(caller.bar(&id(1)).await, AttemptState::Ended);
    caller.done(&id(1)).await;
    until("it is forgotten", async || {
        caller.bar(&id(1)).await == AttemptState::Forgotten
    })
    .await;
    // A start of it that comes once more runs nothing and isn't "not run".
    let other = bench.caller().await;
    other.begin(bench.reservation(1, "lot-1")).await;
    let (_, end) = other.ended(&id(1)).await;
    assert!(matches!(end, Err(wire::Broken::Ended(end)) if end.end() == End::Lost));
    assert_eq!(service.count("lot-1", "/lots"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_twice() {
    // An entry loses the reply and starts the same attempt over a fresh link.
    // It runs once, and its answer comes over the link that asked last.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let bench = Bench::service(&service, json!({})).await;
    let (first, second) = (bench.caller().await, bench.caller().await);
    first.begin(bench.reservation(1, "lot-1")).await;
    second.begin(bench.reservation(1, "lot-1")).await;
    second.whole(&id(1)).await;
    assert_eq!(service.count("lot-1", "/lots"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_unreachable_target() {
    // The target is gone before its agent has noticed. Nothing is written, and
    // the answer says "not run", so the caller may safely ask again.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let slow = json!({"timing": {"poll_ms": 60_000}});
    let bench = Bench::service(&service, slow).await;
    let caller = bench.caller().await;
    service.fault(Fault::Die);
    until("its socket is closed", async || {
        tokio::net::TcpStream::connect(service.address())
            .await
            .is_err()
    })
    .await;
    caller.begin(bench.reservation(1, "lot-1")).await;
    let (_, end) = caller.ended(&id(1)).await;
    assert!(matches!(end, Err(wire::Broken::Ended(end)) if end.end() == End::NotRun));
    assert_eq!(service.count("lot-1", "/lots"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_loses_its_answer() {
    // The service runs the reservation and its connection breaks before the
    // answer. That must be told as lost, never as "not run".
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let bench = Bench::service(&service, json!({})).await;
    let caller = bench.caller().await;
    service.fault(Fault::LoseAnswer);
    caller.begin(bench.reservation(1, "lot-1")).await;
    let (_, end) = caller.ended(&id(1)).await;
    assert!(matches!(end, Err(wire::Broken::Ended(end)) if end.end() == End::Lost));
    assert_eq!(service.count("lot-1", "/lots"), 1);
    sleep(Duration::from_millis(50)).await;
    assert!(bench.control.crashes().is_empty());
}

#[test]
fn start_read_after_standstill() {
    // The agent's process is stopped with a start in its socket, and goes on
    // seconds later. Its entry has given the attempt up by then; run now, the
    // reservation could be made a second time.
    let service = tokio::runtime::Runtime::new().unwrap();
    let target = service.block_on(Service::start(ServiceSettings::default()));
    let target = target.unwrap();
    let agents = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let bench = agents.block_on(Bench::service(&target, json!({})));
    let (up, address) = (service.handle().clone(), bench.agent.link_address());
    let caller = agents.block_on(async move { up.spawn(Caller::dial(address)).await.unwrap() });
    let (began_tx, began) = tokio::sync::oneshot::channel();
    agents.spawn(async {
        began_tx.send(()).unwrap();
        std::thread::sleep(Duration::from_secs(3));
    });
    let start = wire::proto::Start {
        entry_leased: true,
        ..bench.reservation(1, "lot-1")
    };
    let link = caller.link.clone();
    let sent = service.spawn(async move {
        began.await.unwrap();
        link.call(Body::Start(start), PATIENCE).await
    });
    // The agent's runtime goes on only here, and first stands still.
    agents.block_on(async {
        let answer = sent.await.unwrap();
        let refused = match answer {
            Ok(Body::StartReply(reply)) => !reply.accepted,
            _ => true,
        };
        assert!(refused);
        sleep(Duration::from_millis(300)).await;
    });
    assert_eq!(target.count("lot-1", "/lots"), 0);
}
