//! End-to-end tests in one process: callers, an entry, agents and targets.

use crate::support::{AnswerMode, Caller, KEY, eventually, serving_cluster};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn chat_streamed_and_unstreamed() {
    let (_cluster, engine, _service, _entry, caller) = serving_cluster().await;
    let unstreamed = caller
        .chat("draft a figure note", 5, AnswerMode::Unstreamed)
        .await;
    assert_eq!(unstreamed.status, 200);
    assert_eq!(unstreamed.json()["object"], "chat.completion");
    assert!(unstreamed.headers.contains_key("x-request-id"));
    let streamed = caller
        .chat("draft a figure note", 5, AnswerMode::Streamed)
        .await;
    assert_eq!(streamed.status, 200);
    assert!(streamed.complete);
    assert!(streamed.text().ends_with("data: [DONE]\n\n"));
    assert_eq!(streamed.text().matches("data: ").count(), 7);
    let seen = engine.requests();
    let last = seen
        .iter()
        .rfind(|seen| seen.path == "/v1/chat/completions");
    assert!(last.unwrap().header("authorization").is_none());
}

/// A reservation is sent again because its first answer was lost. It must not run
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_resent() {
    let (_cluster, _engine, service, _entry, caller) = serving_cluster().await;
    let first = caller.reserve("lot-17", "{\"lot\":17}").await;
    assert_eq!(first.status, 200, "{}", first.text());
    let again = caller.reserve("lot-17", "{\"lot\":17}").await;
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(service.request_count("lot-17", "/reservations"), 1);
    let other = caller.reserve("lot-17", "{\"lot\":18}").await;
    assert_eq!((other.status, other.ran()), (422, "no".to_owned()));
    assert_eq!(service.request_count("lot-17", "/reservations"), 1);
}

/// A caller that times out early sends the same reservation through several entries at
/// once. All of them must return the same answer.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_at_all_entries_concurrently() {
    let (cluster, _engine, service, _entry, caller) = serving_cluster().await;
    let (_second, other) = cluster.start_ready_entry("entry-2").await;
    other.until_service_served().await;
    for round in 0..5 {
        let key = format!("lot-{round}");
        let calls = [&caller, &other, &caller, &other].map(|caller| caller.reserve(&key, "{}"));
        let [a, b, c, d] = calls;
        let (a, b, c, d) = tokio::join!(a, b, c, d);
        for reply in [&a, &b, &c, &d] {
            assert_eq!(reply.status, 200, "{}", reply.text());
            assert_eq!(reply.body, a.body);
        }
        assert_eq!(service.request_count(&key, "/reservations"), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_nearest_first() {
    let (cluster, _engine, _service, entry, caller) = serving_cluster().await;
    let (second, _) = cluster.start_ready_entry("entry-2").await;
    let list = eventually("both entries are listed", async || {
        let list = caller.get("/v1/addresses").await.json();
        (list["addresses"].as_array()?.len() == 2).then_some(list)
    })
    .await;
    assert_eq!(list["zone"], "celje");
    assert_eq!(list["ttl_s"], 30);
    let own = entry.http_address().to_string();
    let rows = list["addresses"].as_array().unwrap();
    assert!(rows.iter().any(|row| row["address"] == own.as_str()));
    drop(second);
}

/// An entry shuts down while a stream is open and callers still have its address
/// cached. The stream must not be cut off.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_with_open_stream() {
    let (cluster, _engine, _service, _first, caller) = serving_cluster().await;
    let timing = json!({"address_ttl_ms": 5000});
    let leaving = cluster.start_entry("entry-2", timing, json!({})).await;
    let leaving_caller = Caller::new(leaving.http_address(), KEY);
    leaving_caller.until_ready().await;
    leaving_caller.until_chat_served().await;
    let stream = {
        let caller = leaving_caller.clone();
        tokio::spawn(async move {
            caller
                .chat("a long summary", 4000, AnswerMode::Streamed)
                .await
        })
    };
    eventually("the stream is open", async || {
        let text = leaving_caller.get("/metrics").await.text();
        text.contains("open_streams 1").then_some(())
    })
    .await;
    let listed = async |count: usize| {
        eventually("the address list has the expected length", async || {
            let list = caller.get("/v1/addresses").await.json();
            (list["addresses"].as_array()?.len() == count).then_some(())
        })
        .await;
    };
    listed(2).await;
    let shutdown = async {
        tokio::join!(leaving.shutdown(), leaving.shutdown());
    };
    let meanwhile = async {
        assert_eq!(leaving_caller.get("/readyz").await.status, 503);
        // Callers with a cached address list are still served.
        assert_eq!(
            leaving_caller
                .chat("late", 1, AnswerMode::Unstreamed)
                .await
                .status,
            200
        );
        listed(1).await;
        // The entry has left the list but has not ended.
        assert_eq!(leaving_caller.get("/healthz").await.status, 200);
    };
    tokio::join!(shutdown, meanwhile);
    let reply = stream.await.unwrap();
    assert!(reply.complete && reply.text().ends_with("data: [DONE]\n\n"));
    assert!(
        leaving_caller
            .open(hyper::Method::GET, "/healthz", &[], "")
            .await
            .is_err()
    );
}
