//! Orders that a control replica reads late, after it stood still.

use crate::support::{Cluster, ClusterPlan, TOKEN, until};
use serde_json::json;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const DRAIN: &str = "/v1/operator/targets/desk-01/drain";
/// Time in which a replica that goes on answers what it was sent meanwhile.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends the order to undo a drain and leaves its answer unread.
async fn send_undo(cluster: &Cluster, replica: &str) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.http(replica)).await.unwrap();
    let body = json!({"draining": false}).to_string();
    let head = format!(
        "POST {DRAIN} HTTP/1.1\r\nhost: test\r\nauthorization: Bearer {TOKEN}\r\n\
         content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + &body).as_bytes()).await.unwrap();
    stream
}

/// Guards against a drain that is undone by an earlier order that a replica reads late.
#[tokio::test]
async fn drain_undo_late() {
    let cluster = Cluster::start(ClusterPlan {
        services: 1,
        ..ClusterPlan::default()
    })
    .await;
    cluster.submit_first_note().await;
    let leader = cluster.leader().await;
    let names = ["control-1", "control-2", "control-3"];
    let stopped = names.into_iter().find(|name| *name != leader).unwrap();
    let drain = async |draining: bool| {
        let body = json!({"draining": draining});
        let answer = cluster.operator(&leader, "POST", DRAIN, &body).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    };
    drain(true).await;
    cluster.signal(stopped, "STOP").await;
    let mut late = send_undo(&cluster, stopped).await;
    drain(false).await;
    drain(true).await;
    cluster.signal(stopped, "CONT").await;
    let mut answer = Vec::new();
    let read = timeout(ANSWER_TIMEOUT, late.read_to_end(&mut answer)).await;
    read.unwrap().unwrap();
    assert!(!answer.is_empty());
    let status = until("the leader's status", || cluster.status(&leader)).await;
    assert_eq!(status["drained"], json!(["desk-01"]));
}
