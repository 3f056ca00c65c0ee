//! A small HTTP/1 server.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::linger::Linger;
use crate::{HalfClose, PeerAddr, Response, ServerSettings};

/// Pause after a failed accept, mostly for want of file descriptors: without
/// it the loop would spin until one is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answer to a connection beyond the limit.
const BUSY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n\
    connection: close\r\ncontent-length: 0\r\n\r\n";

/// Serves connections until `stop`, then lets open requests finish, for at
/// most [`ServerSettings::drain_timeout`]. Connections between two requests are closed
/// at once.
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
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            refuse(&stream, peer);
            continue;
        };
        if let Err(error) = watch_for_silence(&stream, cfg.peer_timeout) {
            log::debug!("can't set up the connection of {peer}: {error}");
        }
        let connection = connection(stream, peer, &cfg, stop.clone(), handler.clone());
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
        log::warn!("{open} connections were still open when the time to drain was over");
    }
}

/// Serves one connection; after `stop` it ends with the request in progress,
/// and is cut off once the time to drain is over.
fn connection<H, F>(
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
    let (head_timeout, drain, half_close) = (cfg.head_timeout, cfg.drain_timeout, cfg.half_close);
    async move {
        let unread = Arc::new(AtomicBool::new(false));
        let stream = Linger::new(stream, Arc::clone(&unread));
        let service = service_fn(move |mut req: hyper::Request<Incoming>| {
            req.extensions_mut().insert(PeerAddr(peer));
            let has_body = !req.body().is_end_stream();
            let unread = Arc::clone(&unread);
            let response = handler(req);
            async move {
                let response = response.await;
                // Whoever refuses a request may not have read its body.
                if has_body && !response.status().is_success() {
                    unread.store(true, Ordering::Relaxed);
                }
                Ok::<Response, Infallible>(response)
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
                match tokio::time::timeout(drain, connection).await {
                    Ok(ended) => ended,
                    Err(_) => return,
                }
            }
        };
        if let Err(error) = ended {
            log::debug!("connection of {peer} ended: {error}");
        }
    }
}

/// Turns a connection away; one that doesn't take the few bytes at once is
/// just closed.
fn refuse(stream: &TcpStream, peer: SocketAddr) {
    log::warn!("turned away {peer}: too many connections");
    if let Err(error) = stream.try_write(BUSY) {
        log::debug!("can't tell {peer} so: {error}");
    }
}

/// A connection can go silent for good while new ones work. Without probes its
/// task and permit would be held for ever, and after enough of them nobody
/// gets in.
fn watch_for_silence(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    const PROBES: u32 = 3;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let interval = (silence / PROBES).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(silence))
}
