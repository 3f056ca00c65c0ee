//! The whole path in one process: callers, entry, agents, targets.

use crate::support::{Caller, Form, KEY, eventually, serving};
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn chat_streamed_and_whole() {
    let (_cluster, engine, _service, _entry, caller) = serving().await;
    let whole = caller.chat("draft a figure note", 5, Form::Whole).await;
    assert_eq!(whole.status, 200);
    assert_eq!(whole.json()["object"], "chat.completion");
    assert!(whole.headers.contains_key("x-request-id"));
    let streamed = caller.chat("draft a figure note", 5, Form::Streamed).await;
    assert_eq!(streamed.status, 200);
    assert!(streamed.whole);
    assert!(streamed.text().ends_with("data: [DONE]\n\n"));
    assert_eq!(streamed.text().matches("data: ").count(), 7);
    let seen = engine.requests();
    let last = seen
        .iter()
        .rfind(|seen| seen.path == "/v1/chat/completions");
    assert!(last.unwrap().header("authorization").is_none());
}

/// A buyer's reservation is sent again since its first answer was lost. Run
/// twice, the burl would be sold twice.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_sent_again() {
    let (_cluster, _engine, service, _entry, caller) = serving().await;
    let first = caller.reserve("lot-17", "{\"lot\":17}").await;
    assert_eq!(first.status, 200, "{}", first.text());
    let again = caller.reserve("lot-17", "{\"lot\":17}").await;
    assert_eq!((again.status, &again.body), (200, &first.body));
    assert_eq!(service.request_count("lot-17", "/reservations"), 1);
    let other = caller.reserve("lot-17", "{\"lot\":18}").await;
    assert_eq!((other.status, other.ran()), (422, "no".to_owned()));
    assert_eq!(service.request_count("lot-17", "/reservations"), 1);
}

/// The same reservation reaches several entries at once, from a caller that
/// lost patience. Each of them must give the one answer.
#[tokio::test(flavor = "multi_thread")]
async fn reserve_at_all_entries_at_once() {
    let (cluster, _engine, service, _entry, caller) = serving().await;
    let (_second, other) = cluster.ready_entry("entry-2").await;
    other.until_desk().await;
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
    let (cluster, _engine, _service, entry, caller) = serving().await;
    let (second, _) = cluster.ready_entry("entry-2").await;
    let list = eventually("both are listed", async || {
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

/// An entry is shut down while a stream is open and while callers still hold
/// an old address list. A stream cut off loses a dispatcher his summary.
#[tokio::test(flavor = "multi_thread")]
async fn shutdown_with_open_stream() {
    let (cluster, _engine, _service, _first, caller) = serving().await;
    let timing = json!({"address_ttl_ms": 5000});
    let leaving = cluster.entry("entry-2", timing, json!({})).await;
    let at_leaving = Caller::new(leaving.http_address(), KEY);
    at_leaving.until_ready().await;
    at_leaving.until_served().await;
    let stream = {
        let caller = at_leaving.clone();
        tokio::spawn(async move { caller.chat("a long summary", 4000, Form::Streamed).await })
    };
    eventually("the stream is open", async || {
        let text = at_leaving.get("/metrics").await.text();
        text.contains("open_streams 1").then_some(())
    })
    .await;
    let listed = async |count: usize| {
        eventually("the list is so long", async || {
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
        assert_eq!(at_leaving.get("/readyz").await.status, 503);
        // Callers with an old list are still served.
        assert_eq!(at_leaving.chat("late", 1, Form::Whole).await.status, 200);
        listed(1).await;
        // Not because it has ended.
        assert_eq!(at_leaving.get("/healthz").await.status, 200);
    };
    tokio::join!(shutdown, meanwhile);
    let reply = stream.await.unwrap();
    assert!(reply.whole && reply.text().ends_with("data: [DONE]\n\n"));
    assert!(
        at_leaving
            .open(hyper::Method::GET, "/healthz", &[], "")
            .await
            .is_err()
    );
}
