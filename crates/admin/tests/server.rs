//! Limits of the server: incomplete request heads, callers that stop reading, shutdown.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use admin::{
    Body, ConnectionLimits, MonitoringRoutes, Registry, RequestBody, Response, ServerSettings,
    full, serve,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, Notify};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Upper bound for every wait in these tests.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";

async fn start<F>(
    cfg: ServerSettings,
    handler: impl Fn(Request<RequestBody>) -> F + Clone + Send + 'static,
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
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
    drop(read.unwrap());
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn incomplete_head_times_out() {
    // A client opens connections and sends only part of a request head. Without a
    // timeout, such connections would use up the connection limit.
    let cfg = ServerSettings {
        connection: ConnectionLimits {
            head_timeout: Duration::from_millis(200),
            ..ConnectionLimits::default()
        },
        ..ServerSettings::default()
    };
    let (address, ..) = start(cfg, |_req| async { Response::new(full("")) }).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET / HTTP/1.1\r\nho").await.unwrap();
    let answer = read_to_end(&mut stream).await;
    assert!(!answer.contains("200"), "{answer}");
}

/// Guards against a connection beyond the limit that hangs in the accept queue, or cuts off
/// a request in progress.
#[tokio::test]
async fn excess_connections_are_rejected() {
    let cfg = ServerSettings {
        max_connections: 1,
        ..ServerSettings::default()
    };
    let (arrived, finish) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (seen, go) = (Arc::clone(&arrived), Arc::clone(&finish));
    let handler = move |_req| {
        let (seen, go) = (Arc::clone(&seen), Arc::clone(&go));
        async move {
            seen.notify_one();
            go.notified().await;
            Response::new(full("whole"))
        }
    };
    let (address, stop, _server) = start(cfg, handler).await;
    let mut open = TcpStream::connect(address).await.unwrap();
    open.write_all(GET).await.unwrap();
    arrived.notified().await;
    let mut rejected = TcpStream::connect(address).await.unwrap();
    let response = read_to_end(&mut rejected).await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    finish.notify_one();
    stop.cancel();
    assert!(read_to_end(&mut open).await.ends_with("whole"));
}

/// Guards against idle connections, also kept ones, that keep new callers out.
#[tokio::test]
async fn idle_connections_make_room() {
    let cfg = ServerSettings {
        max_connections: 2,
        ..ServerSettings::default()
    };
    let (address, ..) = start(cfg, |_req| async { Response::new(full("whole")) }).await;
    let mut kept = Vec::new();
    for _ in 0..4 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(GET).await.unwrap();
        let mut response = Vec::new();
        while !response.ends_with(b"whole") {
            let read = timeout(TEST_TIMEOUT, stream.read_buf(&mut response)).await;
            assert_ne!(read.unwrap().unwrap(), 0);
        }
        kept.push(stream);
    }
}

/// Guards against a body that is refused although its caller alone uses the server.
#[tokio::test]
async fn body_of_all_bytes_but_a_part() {
    const BYTES: usize = 1 << 20;
    let cfg = ServerSettings {
        max_bytes: 2 * BYTES,
        ..ServerSettings::default()
    };
    let handler = |req: Request<RequestBody>| async {
        let read = req.into_body().read(BYTES, TEST_TIMEOUT).await;
        Response::new(full(read.unwrap().len().to_string()))
    };
    let (address, ..) = start(cfg, handler).await;
    for _ in 0..4 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST / HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {BYTES}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&vec![b'x'; BYTES]).await.unwrap();
        let response = read_to_end(&mut stream).await;
        assert!(response.ends_with(&BYTES.to_string()), "{response}");
    }
}

/// Value of a counter on the metrics page.
fn counter(line: &str) -> u64 {
    let routes = MonitoringRoutes::new(Arc::new(Registry::default()), || Ok(()));
    let page = routes.answer(&admin::Method::GET, "/metrics").unwrap();
    let body = page.into_body().collect();
    let body = futures_util::FutureExt::now_or_never(body)
        .unwrap()
        .unwrap();
    let page = String::from_utf8(body.to_bytes().to_vec()).unwrap();
    let value = page.lines().find_map(|l| l.strip_prefix(line));
    value.map_or(0, |value| value.trim().parse().unwrap())
}

/// Guards against limits that refuse or close callers without a trace for operators.
#[tokio::test]
async fn limits_are_counted() {
    let cfg = ServerSettings {
        max_connections: 1,
        max_bytes: 300_000,
        connection: ConnectionLimits {
            head_timeout: Duration::from_millis(100),
            ..ConnectionLimits::default()
        },
        ..ServerSettings::default()
    };
    let handler = |req: Request<RequestBody>| async {
        let read = req.into_body().read(1 << 20, TEST_TIMEOUT).await;
        read.map_or_else(admin::Problem::into_response, |_| Response::new(full("")))
    };
    let (address, ..) = start(cfg, handler).await;
    let body = "x".repeat(1 << 20);
    let length = body.len();
    let requests = [
        (
            "closed_total{reason=\"head_timeout\"}",
            "GET / HT".to_owned(),
        ),
        ("closed_total{reason=\"head_size\"}", format!("GET /{body}")),
        (
            "refused_total{kind=\"body\"}",
            format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}"),
        ),
    ];
    for (name, request) in requests {
        let line = format!("lovageramp_callers_{name} ");
        let before = counter(&line);
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The server may close the connection before it has read everything.
        let _ = stream.write_all(request.as_bytes()).await;
        read_to_end(&mut stream).await;
        assert!(counter(&line) > before, "{line}");
    }
    let line = "lovageramp_callers_closed_total{reason=\"room\"} ";
    let before = counter(line);
    let _idle = TcpStream::connect(address).await.unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    let mut first = [0; 12];
    stream.read_exact(&mut first).await.unwrap();
    assert!(counter(line) > before);
}

/// Guards against a kept connection that stays open although it is not used.
#[tokio::test]
async fn idle_connection_times_out() {
    let cfg = ServerSettings {
        connection: ConnectionLimits {
            idle_timeout: Duration::from_millis(200),
            ..ConnectionLimits::default()
        },
        ..ServerSettings::default()
    };
    let (address, ..) = start(cfg, |_req| async { Response::new(full("whole")) }).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    assert!(read_to_end(&mut stream).await.ends_with("whole"));
}

/// Guards against heads over the limit that are handled.
#[tokio::test]
async fn head_over_limit_rejected() {
    let cfg = ServerSettings::default();
    let (address, ..) = start(cfg, |_req| async { Response::new(full("whole")) }).await;
    for (bytes, status) in [(16_000, "200"), (32_000, "431")] {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let filler = "y".repeat(bytes);
        let head =
            format!("GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\nx-filler: {filler}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        let response = read_to_end(&mut stream).await;
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status}")),
            "{response}"
        );
    }
}

#[tokio::test]
async fn stop_finishes_request_in_progress() {
    // A daemon is stopped while it handles a request. The caller must get the complete
    // response.
    let (arrived, finish) = (Arc::new(Notify::new()), Arc::new(Notify::new()));
    let (seen, go) = (Arc::clone(&arrived), Arc::clone(&finish));
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
    // Wait until new connections are refused.
    while TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // Leave time for the connection to be closed by mistake.
    tokio::time::sleep(Duration::from_millis(100)).await;
    finish.notify_one();
    assert!(read_to_end(&mut stream).await.ends_with("whole"));
    timeout(TEST_TIMEOUT, server).await.unwrap().unwrap();
}

#[tokio::test]
async fn stop_is_bounded_by_drain_timeout() {
    // A request never finishes. Shutdown must not wait for it beyond the drain timeout,
    // or upgrades would hang.
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
    timeout(TEST_TIMEOUT, server).await.unwrap().unwrap();
    assert_eq!(read_to_end(&mut stream).await, "");
}

/// Sends data until the receiver is dropped.
async fn send_until_dropped(mut tx: Sender<Bytes, std::io::Error>) {
    let chunk = Bytes::from(vec![b'x'; 64 << 10]);
    while tx.send_data(chunk.clone()).await.is_ok() {}
}

#[tokio::test]
async fn caller_that_stops_reading_is_disconnected() {
    // A caller opens a stream and stops reading, while its host still acknowledges
    // keepalive probes. Without a timeout, the stream and its target would be held forever.
    let cfg = ServerSettings {
        peer_timeout: Duration::from_secs(1),
        ..ServerSettings::default()
    };
    let senders = Arc::new(Mutex::new(Vec::new()));
    let started = Arc::clone(&senders);
    let handler = move |_req| {
        let started = Arc::clone(&started);
        async move {
            let (tx, body) = Channel::new(1);
            started
                .lock()
                .await
                .push(tokio::spawn(send_until_dropped(tx)));
            let body: Body = body.boxed_unsync();
            Response::new(body)
        }
    };
    let (address, ..) = start(cfg, handler).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    let mut first = [0; 16];
    stream.read_exact(&mut first).await.unwrap();
    let sender = senders.lock().await.pop().unwrap();
    timeout(TEST_TIMEOUT, sender).await.unwrap().unwrap();
}

/// Reads to the end of the connection; returns whether it was closed in order.
async fn is_closed_in_order(stream: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    let read = timeout(TEST_TIMEOUT, stream.read_to_end(&mut answer)).await;
    read.unwrap().is_ok()
}

/// A response that ends with its connection would pass for complete if the connection were
/// closed in order although the body failed, or the server stopped before its end.
#[tokio::test]
async fn until_close_unfinished_resets() {
    let cfg = ServerSettings {
        drain_timeout: Duration::from_millis(100),
        ..ServerSettings::default()
    };
    let senders = Arc::new(Mutex::new(Vec::new()));
    let added = Arc::clone(&senders);
    let handler = move |_req| {
        let added = Arc::clone(&added);
        async move {
            let (tx, body) = Channel::<Bytes, std::io::Error>::new(4);
            added.lock().await.push(tx);
            admin::until_close(Response::new(body.boxed_unsync()))
        }
    };
    let (address, stop, server) = start(cfg, handler).await;
    let (mut failing, tx) = begin_response(address, &senders).await;
    tx.abort(std::io::Error::other("broken off"));
    assert!(!is_closed_in_order(&mut failing).await);
    let (mut whole, tx) = begin_response(address, &senders).await;
    drop(tx);
    assert!(is_closed_in_order(&mut whole).await);
    let (mut stopped, _tx) = begin_response(address, &senders).await;
    stop.cancel();
    assert!(!is_closed_in_order(&mut stopped).await);
    server.await.unwrap();
}

type BodySender = Sender<Bytes, std::io::Error>;

/// Sends a request, and returns once the first part of the response's body has arrived.
async fn begin_response(
    address: SocketAddr,
    senders: &Mutex<Vec<BodySender>>,
) -> (TcpStream, BodySender) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(GET).await.unwrap();
    let mut tx = next_sender(senders).await;
    tx.send_data("part".into()).await.unwrap();
    let mut received = Vec::new();
    while !received.ends_with(b"part") {
        let read = timeout(TEST_TIMEOUT, stream.read_buf(&mut received)).await;
        assert_ne!(read.unwrap().unwrap(), 0);
    }
    (stream, tx)
}

async fn next_sender(senders: &Mutex<Vec<BodySender>>) -> BodySender {
    loop {
        if let Some(tx) = senders.lock().await.pop() {
            return tx;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
