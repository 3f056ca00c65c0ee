//! Bounds of the server: slow heads, callers who don't read, stopping.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admin::{Body, Response, ServerSettings, full, serve};
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::Request;
use hyper::body::Incoming;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Far longer than anything here takes.
const BOUND: Duration = Duration::from_secs(30);

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

async fn start<F>(
    cfg: ServerSettings,
    handler: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) -> (SocketAddr, CancellationToken, JoinHandle<()>)
where
    F: Future<Output = Response> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let server = tokio::spawn(serve(listener, cfg, stop.clone(), handler));
    (address, stop, server)
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let read = timeout(BOUND, stream.read_to_end(&mut answer)).await;
    drop(read.unwrap());
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn serve_half_a_head() {
    // Somebody opens connections, sends half a head and waits. Kept for ever,
    // such connections would use up the limit and keep callers out.
    let cfg = ServerSettings {
        head_timeout: Duration::from_millis(200),
        ..ServerSettings::default()
    };
    let (address, ..) = start(cfg, |_req| async { Response::new(full("")) }).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nho").await.unwrap();
    let answer = read_to_end(&mut stream).await;
    assert!(!answer.contains("200"), "{answer}");
}

#[tokio::test]
async fn serve_stop_finishes_request() {
    // A daemon is told to stop while it answers a request. Its caller must get
    // the whole answer.
    let (arrived, release) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (seen, go) = (Arc::clone(&arrived), Arc::clone(&release));
    let handler = move |_req| {
        let (seen, go) = (Arc::clone(&seen), Arc::clone(&go));
        async move {
            seen.notify_one();
            go.notified().await;
            Response::new(full("whole"))
        }
    };
    let (address, stop, server) = start(ServerSettings::default(), handler).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    arrived.notified().await;
    stop.cancel();
    // No new connection is taken any more.
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Long enough for a connection to be cut off that ought not to be.
    tokio::time::sleep(Duration::from_millis(100)).await;
    release.notify_one();
    assert!(read_to_end(&mut stream).await.ends_with("whole"));
    timeout(BOUND, server).await.unwrap().unwrap();
}

#[tokio::test]
async fn serve_stop_bounded() {
    // A caller never finishes. The stop of the daemon must not wait for it
    // beyond the time to drain, or an upgrade hangs.
    let cfg = ServerSettings {
        drain_timeout: Duration::from_millis(200),
        ..ServerSettings::default()
    };
    let arrived = Arc::new(Notify::new());
    let seen = Arc::clone(&arrived);
    let handler = move |_req| {
        seen.notify_one();
        std::future::pending()
    };
    let (address, stop, server) = start(cfg, handler).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    arrived.notified().await;
    stop.cancel();
    timeout(BOUND, server).await.unwrap().unwrap();
    assert_eq!(read_to_end(&mut stream).await, "");
}

/// Sends without end; returns once nobody takes it any more.
async fn flood(mut tx: Sender<Bytes, std::io::Error>) {
    let chunk = Bytes::from(vec![b'x'; 64 << 10]);
    while tx.send_data(chunk.clone()).await.is_ok() {}
}

#[tokio::test]
async fn serve_caller_stops_reading() {
    // A caller opens a stream and stops to read, but its host goes on answering
    // probes. Without a bound the stream and its target would be held for ever.
    let cfg = ServerSettings {
        peer_timeout: Duration::from_secs(1),
        ..ServerSettings::default()
    };
    let floods = Arc::new(Mutex::new(Vec::new()));
    let started = Arc::clone(&floods);
    let handler = move |_req| {
        let started = Arc::clone(&started);
        async move {
            let (tx, body) = Channel::new(1);
            started.lock().await.push(tokio::spawn(flood(tx)));
            let body: Body = body.boxed_unsync();
            Response::new(body)
        }
    };
    let (address, ..) = start(cfg, handler).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    let mut first = [0; 16];
    stream.read_exact(&mut first).await.unwrap();
    let flood = floods.lock().await.pop().unwrap();
    timeout(BOUND, flood).await.unwrap().unwrap();
}
