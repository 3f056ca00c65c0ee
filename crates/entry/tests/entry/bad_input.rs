//! Responses to invalid input.

use crate::support::{AnswerMode, Caller, Cluster, KEY, chat};
use hyper::Method;
use quickcheck::{Arbitrary, Gen};
use serde_json::json;

async fn entry_without_targets() -> (Cluster, entry::Entry, Caller) {
    let mut cluster = Cluster::start().await;
    cluster.offer(&["advisor-01"], &["desk-01"]).await;
    let limits = json!({"body": 10_000});
    let entry = cluster
        .start_entry("entry-1", json!({"queue_wait_ms": 100}), limits)
        .await;
    let caller = Caller::new(entry.http_address(), KEY);
    caller.until_ready().await;
    (cluster, entry, caller)
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_rejected() {
    let (_cluster, _entry, caller) = entry_without_targets().await;
    let path = "/v1/chat/completions";
    let anonymous = Caller::new(caller.address, "");
    let no_key = anonymous
        .post(path, &[], chat("x", 1, AnswerMode::Unstreamed))
        .await;
    assert_eq!((no_key.status, no_key.ran()), (401, "no".to_owned()));
    assert_eq!(no_key.headers["content-type"], "application/problem+json");
    assert!(no_key.json()["request"].is_string());
    let wrong = Caller::new(caller.address, "another key");
    assert_eq!(wrong.chat("x", 1, AnswerMode::Unstreamed).await.status, 401);

    let unknown = caller.post(path, &[], r#"{"model":"x-9"}"#).await;
    assert_eq!(unknown.status, 404);
    assert!(unknown.json()["detail"].as_str().unwrap().contains("x-9"));

    let malformed = caller.post(path, &[], "{\"model\": }").await;
    assert_eq!(malformed.status, 400);
    let detail = malformed.json()["detail"].as_str().unwrap().to_owned();
    assert!(detail.contains("line 1 column 11"), "{detail}");

    let large = caller.post(path, &[], "x".repeat(10_001)).await;
    assert_eq!((large.status, large.ran()), (413, "no".to_owned()));
    assert_eq!(caller.get(path).await.status, 405);
    assert_eq!(caller.get("/nowhere").await.status, 404);
    assert_eq!(caller.get("/s/no-desk/x").await.status, 404);
    assert_eq!(caller.get("/s/").await.status, 404);
    let timeout = [("x-request-timeout-ms", "soon")];
    let timeout = caller
        .post(path, &timeout, chat("x", 1, AnswerMode::Unstreamed))
        .await;
    assert_eq!(timeout.status, 400);

    let no_idempotency = caller.post("/s/order-desk/reservations", &[], "{}").await;
    assert_eq!(no_idempotency.status, 400);
    assert!(no_idempotency.text().contains("Idempotency-Key"));

    let no_targets = caller.chat("x", 1, AnswerMode::Unstreamed).await;
    assert_eq!(
        (no_targets.status, no_targets.ran()),
        (503, "no".to_owned())
    );
    assert!(no_targets.headers.contains_key("retry-after"));
    let operator = caller.get("/v1/operator/status").await;
    assert_eq!(operator.status, 401);
}

/// Broken or malicious callers send random bytes to the parsers. A panic would abort
/// unrelated requests, and a hang would hold a connection forever.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_random_bytes() {
    let (_cluster, _entry, caller) = entry_without_targets().await;
    let mut random = Gen::from_size_and_seed(300, 21);
    let base = chat("burl", 3, AnswerMode::Streamed).into_bytes();
    for _ in 0..150 {
        let mut body = if bool::arbitrary(&mut random) {
            base.clone()
        } else {
            Vec::arbitrary(&mut random)
        };
        for _ in 0..u8::arbitrary(&mut random) % 8 {
            if !body.is_empty() {
                let at = usize::arbitrary(&mut random) % body.len();
                body[at] = u8::arbitrary(&mut random);
            }
        }
        let paths = [
            "/v1/chat/completions",
            "/s/order-desk/x",
            "/v1/addresses?zone=%00",
        ];
        let path = paths[usize::from(u8::arbitrary(&mut random)) % paths.len()];
        let methods = [Method::POST, Method::GET, Method::DELETE];
        let method = methods[usize::from(u8::arbitrary(&mut random)) % 3].clone();
        let reply = caller.send(method, path, &[], body).await;
        assert!(
            reply.status >= 200 && reply.status != 500,
            "{}",
            reply.status
        );
    }
    assert_eq!(caller.get("/healthz").await.status, 200);
}

/// Random bytes on the raw connection, where not even the head is valid HTTP.
#[tokio::test(flavor = "multi_thread")]
async fn bad_input_random_heads() {
    use tokio::io::AsyncWriteExt;
    let (_cluster, _entry, caller) = entry_without_targets().await;
    let mut random = Gen::from_size_and_seed(200, 22);
    for _ in 0..50 {
        let mut socket = tokio::net::TcpStream::connect(caller.address)
            .await
            .unwrap();
        let bytes: Vec<u8> = Vec::arbitrary(&mut random);
        // The entry may close the connection first.
        let _ = socket.write_all(&bytes).await;
        let _ = socket.write_all(b"\r\n\r\n").await;
    }
    assert_eq!(caller.get("/healthz").await.status, 200);
}
