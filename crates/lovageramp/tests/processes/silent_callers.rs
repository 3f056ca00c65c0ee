//! Callers that go silent in the middle of a request, before a real entry.

use crate::support::{Cluster, ClusterPlan, bearer, chat, until};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Silent callers of each kind.
const EACH: usize = 40;
/// Tokens of an answer that no socket's buffers hold.
const TOKENS: usize = 200_000;
/// Bytes that one silent caller may cost its entry: the window of an answer, the events
/// and bytes that wait for its socket, and what a connection takes.
const MOST_EACH: u64 = 1 << 20;

/// Half the head of a request.
const HALF_A_HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthoriz";

fn stalled_body() -> String {
    let bearer = bearer("huber");
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: {bearer}\r\n\
         content-length: 1000000\r\n\r\n{{\"model\":"
    )
}

/// A request for a long stream, which is then not read.
fn unread_stream() -> String {
    let bearer = bearer("huber");
    let body =
        format!(r#"{{"model":"burl-notes","stream":true,"max_tokens":{TOKENS},"messages":[]}}"#);
    let length = body.len();
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: {bearer}\r\n\
         content-length: {length}\r\n\r\n{body}"
    )
}

async fn send(entry: SocketAddr, bytes: &str) -> TcpStream {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    stream
}

/// Reads until the entry ends the connection; what it said.
async fn until_ended(mut stream: TcpStream) -> String {
    let mut read = Vec::new();
    // A reset ends it too.
    let _ = stream.read_to_end(&mut read).await;
    String::from_utf8_lossy(&read).into_owned()
}

/// Callers go silent for good: with half a head sent, with half a body, and in the middle
/// of an answer that they don't read. Each would hold its connection, its memory and its
/// place at a target for ever, and after enough of them nobody got in. The others are
/// served meanwhile, and the silent ones are given up within the entry's times.
#[tokio::test(flavor = "multi_thread")]
async fn silent_callers_given_up() {
    let mut cluster = Cluster::start(ClusterPlan {
        controls: 1,
        entries: 1,
        engines: 1,
        services: 0,
        step_ms: 0,
        limit: 1_000,
        ..ClusterPlan::default()
    })
    .await;
    cluster.entry_timing.insert("receive_ms", 2_000);
    cluster.entry_timing.insert("stall_ms", 2_000);
    cluster.processes.get_mut("entry-1").unwrap().kill().await;
    cluster.start_entry(1).await;
    cluster.submit_first_note().await;
    let entry = cluster.http("entry-1");
    let before = cluster.processes["entry-1"].resident_bytes();

    let (mut heads, mut bodies, mut unread) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..EACH {
        heads.push(send(entry, HALF_A_HEAD).await);
        bodies.push(send(entry, &stalled_body()).await);
        let mut stream = send(entry, &unread_stream()).await;
        // It runs once the answer has begun.
        stream.read_exact(&mut [0; 8]).await.unwrap();
        unread.push(stream);
    }
    for _ in 0..20 {
        let answer = chat(entry, "maier", "hello", true).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let held = cluster.processes["entry-1"].resident_bytes();
    let each = held.saturating_sub(before) / (3 * EACH as u64);
    assert!(each < MOST_EACH, "{each} bytes for each silent caller");

    // Nothing is read from these until the engine has been told to stop.
    until("no silent stream runs at the engine any more", || async {
        (cluster.running_at("advisor-01").await == 0).then_some(())
    })
    .await;
    for stream in unread {
        let said = until_ended(stream).await;
        assert!(!said.contains("[DONE]"), "a broken stream taken for whole");
    }
    for stream in bodies {
        let said = until_ended(stream).await;
        assert!(said.starts_with("HTTP/1.1 408"), "{said:?}");
        assert!(said.contains("\"ran\":\"no\""), "{said:?}");
    }
    for stream in heads {
        until_ended(stream).await;
    }
    let answer = chat(entry, "maier", "hello", true).await.unwrap();
    assert_eq!(answer.status, 200);
}
