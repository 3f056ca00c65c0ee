//! Callers that stop sending or reading in the middle of a request, at a real entry.

use crate::support::{Cluster, ClusterPlan, bearer, chat, until};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Stalled callers of each kind.
const CALLERS_PER_KIND: usize = 40;
/// Tokens of an answer: more than the socket buffers hold.
const ANSWER_TOKENS: usize = 200_000;
/// Memory that one stalled caller may take at its entry: the window of an answer, the
/// events and bytes queued for its socket, and the connection itself.
const MAX_BYTES_PER_CALLER: u64 = 1 << 20;

/// An incomplete request head.
const PARTIAL_HEAD: &str = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthoriz";

fn stalled_body() -> String {
    let bearer = bearer("huber");
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: {bearer}\r\n\
         content-length: 1000000\r\n\r\n{{\"model\":"
    )
}

/// A request for a long stream, which the caller doesn't read.
fn unread_stream() -> String {
    let bearer = bearer("huber");
    let body = format!(
        r#"{{"model":"burl-notes","stream":true,"max_tokens":{ANSWER_TOKENS},"messages":[]}}"#
    );
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

/// Reads until the entry closes the connection and returns what was received.
async fn read_until_closed(mut stream: TcpStream) -> String {
    let mut read = Vec::new();
    // A reset closes the connection too.
    let _ = stream.read_to_end(&mut read).await;
    String::from_utf8_lossy(&read).into_owned()
}

/// Callers stall for good: with an incomplete head, with an incomplete body, and while
/// they don't read an answer. Without timeouts each would hold its connection, its memory
/// and its concurrency slot at a target for ever, until no other caller was served.
/// Other callers must be served meanwhile, and the entry must close the stalled
/// connections within `receive_ms` and `stall_ms`.
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
    for _ in 0..CALLERS_PER_KIND {
        heads.push(send(entry, PARTIAL_HEAD).await);
        bodies.push(send(entry, &stalled_body()).await);
        let mut stream = send(entry, &unread_stream()).await;
        // The request runs once the answer has begun.
        stream.read_exact(&mut [0; 8]).await.unwrap();
        unread.push(stream);
    }
    for _ in 0..20 {
        let answer = chat(entry, "maier", "hello", true).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let resident = cluster.processes["entry-1"].resident_bytes();
    let bytes_per_caller = resident.saturating_sub(before) / (3 * CALLERS_PER_KIND as u64);
    assert!(
        bytes_per_caller < MAX_BYTES_PER_CALLER,
        "{bytes_per_caller} bytes for each stalled caller"
    );

    // The streams are not read before the engine has been told to stop.
    until("no stalled stream runs at the engine any more", || async {
        (cluster.running_at("advisor-01").await == 0).then_some(())
    })
    .await;
    for stream in unread {
        let response = read_until_closed(stream).await;
        assert!(
            !response.contains("[DONE]"),
            "a truncated stream ended as if it were complete"
        );
    }
    for stream in bodies {
        let response = read_until_closed(stream).await;
        assert!(response.starts_with("HTTP/1.1 408"), "{response:?}");
        assert!(response.contains("\"ran\":\"no\""), "{response:?}");
    }
    for stream in heads {
        read_until_closed(stream).await;
    }
    let answer = chat(entry, "maier", "hello", true).await.unwrap();
    assert_eq!(answer.status, 200);
}
