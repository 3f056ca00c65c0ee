//! Bytes of a target that are no answer and never end.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::json;
use support::{Fixture, id, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::sleep;
use wire::proto::End;

/// How long callers wait, and how long a call may run that must not be repeated, in
/// milliseconds.
const MAX_RUN_MS: u32 = 3_000;
/// Maximum number of bytes that an agent takes of an answer that it must keep whole: its bound
/// of 4 MiB, and what is on the way.
const MAX_KEPT_BYTES: usize = 12 << 20;
/// Maximum number of bytes that it takes of an answer that the entry reads meanwhile.
const MAX_BYTES: usize = 80 << 20;
/// Pause between two writes.
const PAUSE: Duration = Duration::from_millis(1);

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const EVENTS: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// What a target sends: a beginning, and a piece again and again.
type Endless = (&'static str, &'static str, usize);

const ENDLESS: [Endless; 12] = [
    ("", "x", 1),
    ("", "x", 1 << 16),
    ("", "\r\n", 1),
    ("HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n", 1),
    ("HTTP/1.1 200 OK\r\n", "X-Filler: y\r\n", 1 << 12),
    ("", "HTTP/1.1 103 Early Hints\r\n\r\n", 1),
    ("", "HTTP/1.1 103 Early Hints\r\n\r\n", 1 << 12),
    (HEAD, "x", 1),
    (HEAD, "x", 1 << 16),
    (EVENTS, "x", 1 << 16),
    (EVENTS, "id: 1\ndata: x\n\n", 1 << 12),
    (EVENTS, "\n\n", 1),
];

/// A service that reports its load, and answers requests without end.
#[derive(Clone, Default)]
struct Target {
    /// Numbers of requests and of connections that the peer has closed since.
    requests: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
    sent_bytes: Arc<AtomicUsize>,
}

impl Target {
    async fn start(&self, endless: Endless) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let target = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(target.clone().serve(stream, endless));
            }
        });
        address
    }

    async fn serve(self, mut stream: TcpStream, (start, piece, repeat): Endless) {
        let mut asked = [0; 4096];
        let read = stream.read(&mut asked).await.unwrap_or(0);
        if asked[..read].starts_with(b"GET /load") {
            let load = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}";
            let _ = stream.write_all(load.as_bytes()).await;
            return;
        }
        if read == 0 {
            return;
        }
        self.requests.fetch_add(1, Ordering::Relaxed);
        let mut bytes = start.to_owned();
        while stream.write_all(bytes.as_bytes()).await.is_ok() {
            self.sent_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
            bytes = piece.repeat(repeat);
            sleep(PAUSE).await;
        }
        self.closed.fetch_add(1, Ordering::Relaxed);
    }
}

async fn check(endless: Endless, keep: bool) {
    let target = Target::default();
    let address = target.start(endless).await;
    let timing = json!({"timing": {"longest_ms": MAX_RUN_MS}});
    let fixture = Fixture::service_at(address, timing).await;
    let entry = fixture.connect_entry().await;
    let mut start = fixture.reservation(1, "burl");
    start.deadline_ms = MAX_RUN_MS;
    start.keep = keep;
    entry.start_accepted(start).await;
    let (_, end) = entry.wait_ended(&id(1)).await;
    let is_whole = end.is_ok_and(|end| end.end() == End::Whole);
    assert!(!is_whole, "{endless:?}");
    wait_until("the connection is closed", async || {
        target.closed.load(Ordering::Relaxed) == target.requests.load(Ordering::Relaxed)
    })
    .await;
    let sent = target.sent_bytes.load(Ordering::Relaxed);
    let max = if keep { MAX_KEPT_BYTES } else { MAX_BYTES };
    assert!(sent <= max, "{endless:?}: {sent} bytes");
}

/// Checks all kinds side by side.
async fn check_all(keep: bool) {
    let all = async {
        let mut checks = JoinSet::new();
        for endless in ENDLESS {
            checks.spawn_local(check(endless, keep));
        }
        checks.join_all().await;
    };
    LocalSet::new().run_until(all).await;
}

/// Guards against a call that a target holds up for ever, or whose answer fills the memory.
#[tokio::test(flavor = "multi_thread")]
async fn call_answered_without_end() {
    check_all(true).await;
}

/// Guards against a repeatable call that a target holds up for ever.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_call_answered_without_end() {
    check_all(false).await;
}
