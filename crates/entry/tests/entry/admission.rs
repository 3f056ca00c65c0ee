//! Admission of requests.

use fake::Relay;
use serde_json::json;

use crate::support::{AnswerMode, Caller, Cluster, KEY, chat, eventually, serving_cluster};

/// An entry loses control and can no longer know what is offered. It refuses new
/// requests at once and is not ready. For a call that may have run before under its
/// key, it must not answer "not run".
#[tokio::test(flavor = "multi_thread")]
async fn admit_without_lease() {
    let (cluster, engine, service, _entry, caller) = serving_cluster().await;
    cluster.control.shutdown().await;
    eventually("the lease expires", async || {
        (caller.get("/readyz").await.status == 503).then_some(())
    })
    .await;
    let (chats, calls) = (engine.requests().len(), service.requests().len());
    let reply = caller.chat("late", 1, AnswerMode::Unstreamed).await;
    assert_eq!((reply.status, reply.ran().as_str()), (503, "no"));
    assert!(reply.headers.contains_key("retry-after"));
    let reply = caller.reserve("lot-17", "{}").await;
    assert_eq!((reply.status, reply.ran().as_str()), (503, "unknown"));
    let prompts =
        |seen: Vec<fake::RecordedRequest>| seen.iter().filter(|s| s.method == "POST").count();
    assert_eq!(
        prompts(engine.requests()[..chats].to_vec()),
        prompts(engine.requests())
    );
    assert_eq!(
        prompts(service.requests()[..calls].to_vec()),
        prompts(service.requests())
    );
}

/// Only the entry loses control; the agents still reach it. A release note could
/// withdraw an account or a model in the meantime, so the entry must not act on its
/// last known one.
#[tokio::test(flavor = "multi_thread")]
async fn admit_entry_partitioned() {
    let (cluster, engine, _service, _entry, other) = serving_cluster().await;
    let relay = Relay::start().await.unwrap();
    relay.set_target(cluster.control.link_address());
    let entry = cluster.start_entry_with_control("entry-2", relay.address, json!({}), json!({}));
    let entry = entry.await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    caller.until_chat_served().await;
    relay.black_hole();
    eventually("the lease expires", async || {
        (caller.get("/readyz").await.status == 503).then_some(())
    })
    .await;
    let prompts = || {
        engine
            .requests()
            .iter()
            .filter(|s| s.method == "POST")
            .count()
    };
    let before = prompts();
    let reply = caller.chat("late", 1, AnswerMode::Unstreamed).await;
    assert_eq!((reply.status, reply.ran().as_str()), (503, "no"));
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(prompts(), before);
    assert_eq!(
        other
            .chat("in time", 1, AnswerMode::Unstreamed)
            .await
            .status,
        200
    );
}

/// A request crashes each engine that runs it and is sent again. Once it is convicted,
/// it is refused at once and other requests are served. An operator can pardon it.
#[tokio::test(flavor = "multi_thread")]
async fn admit_convicted() {
    let (cluster, engine, _service, _entry, caller) = serving_cluster().await;
    engine.inject_fault(fake::Fault::CrashOn("poison".to_owned()));
    let poison = chat("poison", 3, AnswerMode::Unstreamed);
    let path = "/v1/chat/completions";
    eventually("the request is convicted", async || {
        let reply = caller.post(path, &[], poison.clone()).await;
        if reply.status == 422 {
            return Some(());
        }
        if caller.chat("ok", 1, AnswerMode::Unstreamed).await.status != 200 {
            engine.restart().await.unwrap();
            engine.inject_fault(fake::Fault::CrashOn("poison".to_owned()));
        }
        None
    })
    .await;
    engine.restart().await.unwrap();
    let refused = caller.post(path, &[], poison.clone()).await;
    assert_eq!((refused.status, refused.ran().as_str()), (422, "no"));
    caller.until_chat_served().await;
    drop(cluster);
}

#[tokio::test(flavor = "multi_thread")]
async fn admit_above_rate() {
    let mut cluster = Cluster::start().await;
    let engine = fake::Engine::start(fake::EngineSettings::default())
        .await
        .unwrap();
    cluster.offer(&["advisor-01"], &[]).await;
    cluster
        .start_agent("advisor-01", "", engine.address())
        .await;
    let limits = json!({"account_part": 0.0002});
    let entry = cluster.start_entry("entry-1", json!({}), limits).await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    // The account may send 10,000 requests per second. This entry grants two of them,
    // with a burst of two seconds.
    let reply = eventually("the rate is used up", async || {
        let reply = caller.chat("more", 1, AnswerMode::Unstreamed).await;
        (reply.status == 429).then_some(reply)
    })
    .await;
    assert_eq!(reply.ran(), "no");
    let after = reply.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse::<u64>();
    assert!(after.is_ok_and(|seconds| seconds >= 1));
}

/// A release note withdraws a target. It must get no more work, even if it is healthy.
#[tokio::test(flavor = "multi_thread")]
async fn admit_withdrawn_target() {
    let (mut cluster, _engine, service, _entry, caller) = serving_cluster().await;
    cluster
        .submit_note(&json!([]), &json!([{"kind": "target", "name": "desk-01"}]))
        .await;
    eventually("the target gets no new work", async || {
        let reply = caller.get("/s/order-desk/stock").await;
        (reply.status == 503).then_some(())
    })
    .await;
    let before = service
        .requests()
        .iter()
        .filter(|s| s.path == "/stock")
        .count();
    for _ in 0..10 {
        let reply = caller.get("/s/order-desk/stock").await;
        assert_eq!((reply.status, reply.ran().as_str()), (503, "no"));
    }
    let after = service
        .requests()
        .iter()
        .filter(|s| s.path == "/stock")
        .count();
    assert_eq!(before, after);
}
