//! Who is let in.

use fake::Relay;
use serde_json::json;

use crate::support::{Caller, Cluster, Form, KEY, chat, eventually, serving};

/// An entry is cut off from control. It can't know any more what is offered,
/// so it takes nothing new, says so at once, and drops out of readiness. Of a
/// call that may have run before under its key it doesn't say "not run".
#[tokio::test(flavor = "multi_thread")]
async fn admit_without_lease() {
    let (cluster, engine, service, _entry, caller) = serving().await;
    cluster.control.shutdown().await;
    eventually("the lease runs out", async || {
        (caller.get("/readyz").await.status == 503).then_some(())
    })
    .await;
    let (chats, calls) = (engine.requests().len(), service.requests().len());
    let reply = caller.chat("late", 1, Form::Whole).await;
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

/// Only the entry is cut off; the targets' agents still hear control. A note
/// could withdraw an account or a model meanwhile, so the entry must not go
/// on by what it last knew.
#[tokio::test(flavor = "multi_thread")]
async fn admit_cut_off_alone() {
    let (cluster, engine, _service, _entry, other) = serving().await;
    let relay = Relay::start().await.unwrap();
    relay.set_target(cluster.control.link_address());
    let entry = cluster.entry_through("entry-2", relay.address, json!({}), json!({}));
    let entry = entry.await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    caller.until_served().await;
    relay.black_hole();
    eventually("the lease runs out", async || {
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
    let reply = caller.chat("late", 1, Form::Whole).await;
    assert_eq!((reply.status, reply.ran().as_str()), (503, "no"));
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(prompts(), before);
    assert_eq!(other.chat("in time", 1, Form::Whole).await.status, 200);
}

/// One request kills each engine that runs it and its caller sends it again.
/// Convicted, it is refused at once, and others are served; an operator can
/// pardon it.
#[tokio::test(flavor = "multi_thread")]
async fn admit_convicted() {
    let (cluster, engine, _service, _entry, caller) = serving().await;
    engine.inject_fault(fake::Fault::CrashOn("poison".to_owned()));
    let poison = chat("poison", 3, Form::Whole);
    let path = "/v1/chat/completions";
    eventually("it is convicted", async || {
        let reply = caller.post(path, &[], poison.clone()).await;
        if reply.status == 422 {
            return Some(());
        }
        if caller.chat("ok", 1, Form::Whole).await.status != 200 {
            engine.restart().await.unwrap();
            engine.inject_fault(fake::Fault::CrashOn("poison".to_owned()));
        }
        None
    })
    .await;
    engine.restart().await.unwrap();
    let refused = caller.post(path, &[], poison.clone()).await;
    assert_eq!((refused.status, refused.ran().as_str()), (422, "no"));
    caller.until_served().await;
    drop(cluster);
}

#[tokio::test(flavor = "multi_thread")]
async fn admit_above_rate() {
    let mut cluster = Cluster::start().await;
    let engine = fake::Engine::start(fake::EngineSettings::default())
        .await
        .unwrap();
    cluster.offer(&["advisor-01"], &[]).await;
    cluster.agent("advisor-01", "", engine.address()).await;
    let limits = json!({"account_part": 0.0002});
    let entry = cluster.entry("entry-1", json!({}), limits).await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    // 10,000 requests a second, of which this entry gives out two, and a
    // burst of two seconds.
    let reply = eventually("the rate is used up", async || {
        let reply = caller.chat("more", 1, Form::Whole).await;
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

/// A target is withdrawn by a note. Work must not go there any more, be it
/// ever so fit.
#[tokio::test(flavor = "multi_thread")]
async fn admit_withdrawn_target() {
    let (mut cluster, _engine, service, _entry, caller) = serving().await;
    cluster
        .note(&json!([]), &json!([{"kind": "target", "name": "desk-01"}]))
        .await;
    eventually("it gets nothing new", async || {
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
