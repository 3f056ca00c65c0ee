//! An HTTP/1 server with resource limits.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::linger::{ConnectionState, LingeringStream};
use crate::until_close::{TrackedBody, ends_with_connection};
use crate::{HalfClose, PeerAddr, Response, ServerSettings};

/// Delay after a failed accept. The usual cause is a lack of file descriptors; without a
/// delay, the loop would spin until one becomes available.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Response to a connection beyond the limit.
const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Serves connections until `stop` is cancelled, then waits for requests in progress for
/// at most [`ServerSettings::drain_timeout`]. Idle connections are closed immediately.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use admin::{Response, ServerSettings, full, serve};
/// use tokio_util::sync::CancellationToken;
///
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let stop = CancellationToken::new();
/// let server = serve(listener, ServerSettings::default(), stop.clone(), |_req| async {
///     Response::new(full("hello"))
/// });
/// stop.cancel();
/// server.await;
/// # });
/// ```
pub async fn serve<H, F>(
    listener: TcpListener,
    cfg: ServerSettings,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(hyper::Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let tracker = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(cfg.max_connections));
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            reject_connection(&stream, peer);
            continue;
        };
        if let Err(error) = set_socket_options(&stream, cfg.peer_timeout) {
            log::debug!("can't set socket options for {peer}: {error}");
        }
        let connection = serve_connection(stream, peer, &cfg, stop.clone(), handler.clone());
        tracker.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    tracker.close();
    if tokio::time::timeout(cfg.drain_timeout, tracker.wait())
        .await
        .is_err()
    {
        let open = tracker.len();
        log::warn!("drain timeout expired with {open} open connections");
    }
}

/// Like [`serve`], at an address that may still be held by another process: binds it as
/// soon as it is free.
///
/// # Errors
///
/// Fails if the address can never be bound, for example for lack of permission.
///
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # runtime.block_on(async {
/// use admin::{Response, ServerSettings, full, serve_when_free};
/// use tokio_util::sync::CancellationToken;
///
/// let held = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let address = held.local_addr().unwrap();
/// let stop = CancellationToken::new();
/// let server = serve_when_free(address, ServerSettings::default(), stop.clone(), |_req| async {
///     Response::new(full("hello"))
/// });
/// stop.cancel();
/// assert!(server.await.is_ok());
/// # });
/// ```
pub async fn serve_when_free<H, F>(
    address: SocketAddr,
    cfg: ServerSettings,
    stop: CancellationToken,
    handler: H,
) -> io::Result<()>
where
    H: Fn(hyper::Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let binding = wire::listen_when_free(address);
    if let Some(listener) = stop.run_until_cancelled(binding).await {
        serve(listener?, cfg, stop, handler).await;
    }
    Ok(())
}

/// Serves one connection. After `stop` is cancelled, the connection is closed when the
/// request in progress is finished or the drain timeout expires.
fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    cfg: &ServerSettings,
    stop: CancellationToken,
    handler: H,
) -> impl Future<Output = ()> + Send + use<H, F>
where
    H: Fn(hyper::Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let (head_timeout, drain_timeout, half_close) =
        (cfg.head_timeout, cfg.drain_timeout, cfg.half_close);
    async move {
        let state = ConnectionState::default();
        let stream = LingeringStream::new(stream, state.clone());
        let service = service_fn(move |mut req: hyper::Request<Incoming>| {
            req.extensions_mut().insert(PeerAddr(peer));
            let has_body = !req.body().is_end_stream();
            let state = state.clone();
            let version = req.version();
            let response = handler(req);
            async move {
                let response = response.await;
                // A handler that rejects a request may not have read its body.
                if has_body && !response.status().is_success() {
                    state.unread_body.store(true, Ordering::Relaxed);
                }
                if !ends_with_connection(&response, version) {
                    return Ok::<Response, Infallible>(response);
                }
                let unfinished = Arc::clone(&state.unfinished_response);
                Ok(response.map(|body| TrackedBody::new(body, unfinished).boxed_unsync()))
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        builder.header_read_timeout(head_timeout);
        builder.half_close(half_close == HalfClose::KeepServing);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let ended = tokio::select! {
            ended = connection.as_mut() => ended,
            () = stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                match tokio::time::timeout(drain_timeout, connection).await {
                    Ok(ended) => ended,
                    Err(_) => return,
                }
            }
        };
        if let Err(error) = ended {
            log::debug!("connection from {peer} failed: {error}");
        }
    }
}

/// Rejects a connection with 503. If the response can't be written immediately, the
/// connection is closed without one.
fn reject_connection(stream: &TcpStream, peer: SocketAddr) {
    log::warn!("rejected connection from {peer}: too many connections");
    if let Err(error) = stream.try_write(TOO_MANY_CONNECTIONS) {
        log::debug!("can't send 503 to {peer}: {error}");
    }
}

/// Makes the kernel detect connections whose peer no longer responds, which can happen
/// while new connections work. Without this, each of them would hold its task and
/// permit forever, and the server would eventually reject all new connections.
fn set_socket_options(stream: &TcpStream, peer_timeout: Duration) -> io::Result<()> {
    const PROBES: u32 = 3;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = (peer_timeout / PROBES).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(peer_timeout))
}
