//! Refusals and bars, checked against the requests that reached the target.

mod support;

use std::time::Duration;

use fake::{Engine, EngineSettings, Fault, Service, ServiceSettings};
use serde_json::json;
use support::{Fixture, TestEntry, id, wait_until};
use tokio::time::sleep;
use wire::proto::frame::Body;
use wire::proto::{AttemptState, End, Refusal};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

async fn engine() -> Engine {
    Engine::start(EngineSettings::default()).await.unwrap()
}

/// Starts attempts until one is refused for this reason.
async fn wait_refused(fixture: &Fixture, entry: &TestEntry, refusal: Refusal) {
    let mut attempt = 1_000;
    wait_until("attempts are refused", async || {
        attempt += 1;
        entry.start(fixture.chat(attempt, 4)).await.refusal() == refusal
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn start_each_refusal() {
    // Each refusal tells the entry that the attempt has not run, so the target must
    // not have seen any of the refused attempts.
    let engine = engine().await;
    let limits = json!({"limits": {"concurrent": 1}});
    let fixture = Fixture::engine(&engine, limits).await;
    let entry = fixture.connect_entry().await;
    let chat = || fixture.chat(7, 4);

    let other = wire::proto::Start {
        incarnation: 1,
        ..chat()
    };
    assert_eq!(entry.start_refused(other).await, Refusal::Incarnation);
    let newer = wire::proto::Start { note: 9, ..chat() };
    assert_eq!(entry.start_refused(newer).await, Refusal::Note);
    let older = wire::proto::Start { note: 0, ..chat() };
    assert_eq!(entry.start_refused(older).await, Refusal::Note);
    let group = wire::proto::Start {
        group: "other".into(),
        ..chat()
    };
    assert_eq!(entry.start_refused(group).await, Refusal::NotOffered);
    let model = wire::proto::Start {
        model: "other".into(),
        ..chat()
    };
    assert_eq!(entry.start_refused(model).await, Refusal::NotOffered);
    let nameless = wire::proto::Start {
        attempt: "x".into(),
        ..chat()
    };
    assert_eq!(entry.start_refused(nameless).await, Refusal::NotOffered);
    assert_eq!(entry.bar(&id(7)).await, AttemptState::Barred);
    assert_eq!(entry.start_refused(chat()).await, Refusal::Barred);
    assert!(engine.requests().is_empty());

    entry.start_accepted(fixture.chat(8, 100_000)).await;
    assert_eq!(entry.start_refused(fixture.chat(9, 4)).await, Refusal::Full);
    entry.cancel(&id(8)).await;
    let (_, end) = entry.wait_ended(&id(8)).await;
    assert!(end.is_err());
    engine.inject_fault(Fault::Crash);
    wait_refused(&fixture, &entry, Refusal::Unhealthy).await;
    let refused = engine.requests().into_iter().filter(|seen| {
        let request = seen.header("x-request-id").unwrap_or_default();
        request.starts_with("request-7-") || request.starts_with("request-9-")
    });
    assert_eq!(refused.count(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_withdrawn_target() {
    // A release note withdraws the target while a stream runs on it. New attempts
    // are refused, and the stream is finished.
    let engine = engine().await;
    let fixture = Fixture::engine(&engine, json!({})).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.chat(1, 100)).await;
    fixture.control.withdraw("advisor-01");
    wait_refused(&fixture, &entry, Refusal::NotOffered).await;
    assert!(entry.wait_complete(&id(1)).await.ends_with(b"[DONE]\n\n"));
}

#[tokio::test(flavor = "multi_thread")]
async fn start_newer_note_refreshes() {
    // The entry has a newer release note than the agent. Its attempt is refused, and
    // the agent fetches the note immediately instead of at the next renewal.
    let engine = engine().await;
    let slow = json!({"timing": {"renew_ms": 500}});
    let fixture = Fixture::engine(&engine, slow).await;
    let entry = fixture.connect_entry().await;
    fixture.control.withdraw("desk-01");
    let old = wire::proto::Start {
        note: 1,
        ..fixture.chat(1, 4)
    };
    let reply = entry.start(old).await;
    assert!(reply.accepted || reply.refusal() == Refusal::Note);
    wait_until("the agent has the note", async || {
        entry.start(fixture.chat(2, 4)).await.accepted
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn start_without_any_lease() {
    // Control is unreachable and the agent's lease expires. Its release note may be
    // outdated, so it must refuse attempts unless the entry holds a valid lease.
    let engine = engine().await;
    let cut_off = Fixture::engine_leased(&engine, 300).await;
    let entry = cut_off.connect_entry().await;
    cut_off.control.resign();
    wait_refused(&cut_off, &entry, Refusal::Lease).await;
    let seen = engine.requests().len();
    assert_eq!(
        entry.start_refused(cut_off.chat(2, 4)).await,
        Refusal::Lease
    );
    let leased = wire::proto::Start {
        entry_leased: true,
        ..cut_off.chat(3, 4)
    };
    entry.start_accepted(leased).await;
    entry.wait_complete(&id(3)).await;
    assert_eq!(engine.requests().len(), seen + 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bar_before_start() {
    // An entry dies between claiming a key and starting the attempt. Another entry
    // bars the attempt and releases the key. The delayed start arrives after that
    // and must not run.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let fixture = Fixture::service(&service, json!({})).await;
    let (late, other) = (fixture.connect_entry().await, fixture.connect_entry().await);
    assert_eq!(other.bar(&id(1)).await, AttemptState::Barred);
    let refusal = late.start_refused(fixture.reservation(1, "lot-1")).await;
    assert_eq!(refusal, Refusal::Barred);
    other.start_accepted(fixture.reservation(2, "lot-1")).await;
    other.wait_complete(&id(2)).await;
    assert_eq!(service.request_count("lot-1", "/lots"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn bar_after_start() {
    // The bar arrives too late: the reservation is running, has ended, or is
    // recorded. The agent must not answer that it is barred.
    let cfg = ServiceSettings {
        delay: Duration::from_millis(300),
        ..ServiceSettings::default()
    };
    let service = Service::start(cfg).await.unwrap();
    let fixture = Fixture::service(&service, json!({})).await;
    let entry = fixture.connect_entry().await;
    entry.start_accepted(fixture.reservation(1, "lot-1")).await;
    assert_eq!(entry.bar(&id(1)).await, AttemptState::Running);
    // A cancellation doesn't stop a non-repeatable call.
    entry.cancel(&id(1)).await;
    entry.wait_complete(&id(1)).await;
    assert_eq!(entry.bar(&id(1)).await, AttemptState::Ended);
    entry.release(&id(1)).await;
    wait_until("it is forgotten", async || {
        entry.bar(&id(1)).await == AttemptState::Forgotten
    })
    .await;
    // A second start runs nothing, but it must not be reported as not run.
    let other = fixture.connect_entry().await;
    other.start_accepted(fixture.reservation(1, "lot-1")).await;
    let (_, end) = other.wait_ended(&id(1)).await;
    assert!(matches!(end, Err(wire::AnswerFailure::Aborted(end)) if end.end() == End::Lost));
    assert_eq!(service.request_count("lot-1", "/lots"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_twice() {
    // An entry loses the reply and starts the same attempt on a new link. It must
    // run once, and the answer is sent on the newest link.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let fixture = Fixture::service(&service, json!({})).await;
    let (first, second) = (fixture.connect_entry().await, fixture.connect_entry().await);
    first.start_accepted(fixture.reservation(1, "lot-1")).await;
    second.start_accepted(fixture.reservation(1, "lot-1")).await;
    second.wait_complete(&id(1)).await;
    assert_eq!(service.request_count("lot-1", "/lots"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn start_unreachable_target() {
    // The target goes down before its agent has noticed. Nothing is written, and the
    // attempt ends as not run, so that the caller may safely retry.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let slow = json!({"timing": {"poll_ms": 60_000}});
    let fixture = Fixture::service(&service, slow).await;
    let entry = fixture.connect_entry().await;
    service.inject_fault(Fault::Crash);
    wait_until("its socket is closed", async || {
        tokio::net::TcpStream::connect(service.address())
            .await
            .is_err()
    })
    .await;
    entry.start_accepted(fixture.reservation(1, "lot-1")).await;
    let (_, end) = entry.wait_ended(&id(1)).await;
    assert!(matches!(end, Err(wire::AnswerFailure::Aborted(end)) if end.end() == End::NotRun));
    assert_eq!(service.request_count("lot-1", "/lots"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn service_answer_lost() {
    // The service runs the reservation, and the connection breaks before the
    // response. The attempt must end as lost, never as not run.
    let service = Service::start(ServiceSettings::default()).await.unwrap();
    let fixture = Fixture::service(&service, json!({})).await;
    let entry = fixture.connect_entry().await;
    service.inject_fault(Fault::DropResponse);
    entry.start_accepted(fixture.reservation(1, "lot-1")).await;
    let (_, end) = entry.wait_ended(&id(1)).await;
    assert!(matches!(end, Err(wire::AnswerFailure::Aborted(end)) if end.end() == End::Lost));
    assert_eq!(service.request_count("lot-1", "/lots"), 1);
    sleep(Duration::from_millis(50)).await;
    assert!(fixture.control.crashes().is_empty());
}

#[test]
fn start_after_stall() {
    // The agent's process is suspended with a start in its socket buffer and resumes
    // seconds later. By then the entry has abandoned the attempt; if it ran now, the
    // reservation could be made twice.
    let service = tokio::runtime::Runtime::new().unwrap();
    let target = service.block_on(Service::start(ServiceSettings::default()));
    let target = target.unwrap();
    let agents = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let fixture = agents.block_on(Fixture::service(&target, json!({})));
    let (up, address) = (service.handle().clone(), fixture.agent.link_address());
    let entry = agents.block_on(async move { up.spawn(TestEntry::dial(address)).await.unwrap() });
    let (began_tx, began) = tokio::sync::oneshot::channel();
    agents.spawn(async {
        began_tx.send(()).unwrap();
        std::thread::sleep(Duration::from_secs(3));
    });
    let start = wire::proto::Start {
        entry_leased: true,
        ..fixture.reservation(1, "lot-1")
    };
    let link = entry.link.clone();
    let sent = service.spawn(async move {
        began.await.unwrap();
        link.call(Body::Start(start), WAIT_TIMEOUT).await
    });
    // The agent's runtime only runs here, and its first task blocks it.
    agents.block_on(async {
        let answer = sent.await.unwrap();
        let refused = match answer {
            Ok(Body::StartReply(reply)) => !reply.accepted,
            _ => true,
        };
        assert!(refused);
        sleep(Duration::from_millis(300)).await;
    });
    assert_eq!(target.request_count("lot-1", "/lots"), 0);
}
