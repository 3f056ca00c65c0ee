//! Operators' HTTP server of a replica.

use crate::cluster::{Cluster, wait_for};
use serde_json::{Value, json};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request on a new connection; returns the status and the body.
async fn send_request(
    host: SocketAddr,
    line: &str,
    token: &str,
    body: &str,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(host).await.ok()?;
    let length = body.len();
    let head = format!(
        "{line} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {token}\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n")?.1.to_owned();
    Some((status, body))
}

const TOKEN: &str = "operators-token-of-tests";

/// Any control replica accepts operators' requests: a follower forwards commands and reads
/// to the leader, and its status includes the fields that only the leader knows.
#[tokio::test(flavor = "multi_thread")]
async fn operate_at_follower() {
    let cluster = Cluster::start(3).await;
    let leader = cluster.leader().await;
    let names = cluster.names();
    let follower = names.iter().find(|name| **name != leader).unwrap();
    let host = cluster.control(follower).http_address();

    let note =
        json!({"number": 1, "added": [{"kind": "model", "name": "burl-notes", "versions": ["1"]}]});
    let sent = send_request(host, "POST /v1/operator/notes", TOKEN, &note.to_string()).await;
    assert_eq!(sent.unwrap().0, 200);
    let read = send_request(host, "GET /v1/operator/notes/1", TOKEN, "")
        .await
        .unwrap();
    assert_eq!((read.0, read.1.contains("burl-notes")), (200, true));
    let status = wait_for("the leader's fields in the status", async || {
        let (_, body) = send_request(host, "GET /v1/operator/status", TOKEN, "").await?;
        let status: Value = serde_json::from_str(&body).ok()?;
        (status["repair"] == "complete").then_some(status)
    })
    .await;
    assert_eq!(status["replica"], json!(follower));
    assert_eq!(status["leader"], json!(leader));
    assert_eq!(status["replicas"].as_array().unwrap().len(), 3);
    assert_eq!(status["leads"], false);
}

/// Guards against an order that arrives late and takes back a newer evacuation: `If-Match`
/// names the evacuations that it was given against.
#[tokio::test(flavor = "multi_thread")]
async fn evacuate_if_match() {
    let cluster = Cluster::start(3).await;
    cluster.submit_up_to(1).await;
    let host = cluster.control(&cluster.names()[0]).http_address();
    let send = |method: &str, condition: &str| {
        let line = format!("{method} /v1/operator/evacuations/celje");
        let token = format!("{TOKEN}\r\nif-match: {condition}");
        async move { send_request(host, &line, &token, "").await.unwrap().0 }
    };
    assert_eq!(send("PUT", "\"0\"").await, 200);
    assert_eq!(send("DELETE", "\"0\"").await, 412);
    assert_eq!(send("DELETE", "0").await, 400);
    let (_, read) = send_request(host, "GET /v1/operator/evacuations", TOKEN, "")
        .await
        .unwrap();
    let read: Value = serde_json::from_str(&read).unwrap();
    assert_eq!(read, json!({"number": 1, "evacuated": ["celje"]}));
    assert_eq!(send("DELETE", "\"1\"").await, 200);
}

/// Health, readiness and metrics need no token, operators' pages do. A replica without a
/// leader reports that it is not ready.
#[tokio::test(flavor = "multi_thread")]
async fn pages_and_token() {
    let mut cluster = Cluster::start(3).await;
    let names = cluster.names();
    let host = cluster.control(&names[0]).http_address();
    assert_eq!(
        send_request(host, "GET /healthz", "", "").await.unwrap().0,
        200
    );
    assert_eq!(
        send_request(host, "GET /readyz", "", "").await.unwrap().0,
        200
    );
    let metrics = send_request(host, "GET /metrics", "", "").await.unwrap();
    assert!(
        metrics.1.contains("lovageramp_control_term"),
        "{}",
        metrics.1
    );
    let refused = send_request(host, "GET /v1/operator/status", "wrong", "").await;
    assert_eq!(refused.unwrap().0, 401);
    assert_eq!(
        send_request(host, "GET /nowhere", TOKEN, "")
            .await
            .unwrap()
            .0,
        404
    );
    cluster.stop_replica(&names[1]).await;
    cluster.stop_replica(&names[2]).await;
    wait_for("the replica to be unready", async || {
        let (status, _) = send_request(host, "GET /readyz", "", "").await?;
        (status == 503).then_some(())
    })
    .await;
}
