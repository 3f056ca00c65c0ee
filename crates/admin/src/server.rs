//! An HTTP/1 server with resource limits.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Version;
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use intake::Phase;
use rustix::io::Errno;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::caller::{CallerConnection, Callers};
use crate::caller_metrics::{CloseReason, Refused, count_closed, count_refused};
use crate::connection_limits::RECEIVE_BUFFER_BYTES;
use crate::linger::{ConnectionState, LingeringStream};
use crate::served_body::ServedBody;
use crate::timed_stream::TimedStream;
use crate::until_close::{TrackedBody, ends_with_connection};
use crate::{ConnectionLimits, HalfClose, PeerAddr, RequestBody, Response, ServerSettings};

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
    H: Fn(hyper::Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let limits = cfg.connection;
    serve_with_limits(listener, cfg, move || limits, stop, handler).await;
}

/// Like [`serve`], with limits of a connection that may change: `limits` returns those of
/// each new connection, in place of [`ServerSettings::connection`].
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use admin::{ConnectionLimits, Response, ServerSettings, full, serve_with_limits};
/// use tokio_util::sync::CancellationToken;
///
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let (cfg, stop) = (ServerSettings::default(), CancellationToken::new());
/// let limits = ConnectionLimits::default;
/// let server = serve_with_limits(listener, cfg, limits, stop.clone(), |_req| async {
///     Response::new(full("hello"))
/// });
/// stop.cancel();
/// server.await;
/// # });
/// ```
pub async fn serve_with_limits<H, F>(
    listener: TcpListener,
    cfg: ServerSettings,
    limits: impl Fn() -> ConnectionLimits,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(hyper::Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    if let Err(error) = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::warn!("can't set the size of receive buffers: {error}");
    }
    let tracker = TaskTracker::new();
    let callers = Callers::new(cfg.intake_limits());
    while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("can't accept a connection: {error}");
                if is_out_of_descriptors(&error) {
                    callers.on_descriptors_exhausted();
                }
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let limits = cfg.bound(limits());
        let Ok(connection) = callers.open(limits.own_bytes()).await else {
            reject_connection(&stream, peer);
            continue;
        };
        if let Err(error) = set_socket_options(&stream, cfg.peer_timeout) {
            log::debug!("can't set socket options for {peer}: {error}");
        }
        let accepted = Accepted {
            stream,
            peer,
            connection: Arc::new(connection),
            limits,
        };
        tracker.spawn(serve_connection(
            accepted,
            &cfg,
            stop.clone(),
            handler.clone(),
        ));
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

/// Whether the process or the host has no free descriptor.
fn is_out_of_descriptors(error: &io::Error) -> bool {
    let errno = Errno::from_io_error(error);
    errno.is_some_and(|errno| [Errno::MFILE, Errno::NFILE].contains(&errno))
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
    H: Fn(hyper::Request<RequestBody>) -> F + Clone + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let binding = wire::listen_when_free(address);
    if let Some(listener) = stop.run_until_cancelled(binding).await {
        serve(listener?, cfg, stop, handler).await;
    }
    Ok(())
}

/// A connection that was admitted.
struct Accepted {
    stream: TcpStream,
    peer: SocketAddr,
    connection: Arc<CallerConnection>,
    limits: ConnectionLimits,
}

/// Serves one connection. After `stop` is cancelled, the connection is closed when the
/// request in progress is finished or the drain timeout expires.
fn serve_connection<H, F>(
    accepted: Accepted,
    cfg: &ServerSettings,
    stop: CancellationToken,
    handler: H,
) -> impl Future<Output = ()> + Send + use<H, F>
where
    H: Fn(hyper::Request<RequestBody>) -> F + Send + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let (drain_timeout, half_close) = (cfg.drain_timeout, cfg.half_close);
    async move {
        let Accepted {
            stream,
            peer,
            connection: caller,
            limits,
        } = accepted;
        let state = ConnectionState::default();
        let stream = LingeringStream::new(stream, state.clone());
        let stream = TimedStream::new(stream, Arc::clone(&caller), limits.timeouts());
        let service = {
            let caller = Arc::clone(&caller);
            service_fn(move |mut req: hyper::Request<Incoming>| {
                req.extensions_mut().insert(PeerAddr(peer));
                let exchange = Exchange::begin(&req, &caller, &state);
                let req = req.map(|incoming| RequestBody::new(incoming, Arc::clone(&caller)));
                let response = exchange.is_admitted.then(|| handler(req));
                async move {
                    match response {
                        Some(response) => Ok::<_, Infallible>(exchange.end(response.await)),
                        // The connection is about to be closed.
                        None => std::future::pending().await,
                    }
                }
            })
        };
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new());
        // The stream has the time limits; this one makes the server read on when a response
        // has been sent, and thereby start them.
        builder.header_read_timeout(limits.idle_timeout + limits.head_timeout);
        builder.max_header_size(limits.head_buffer_bytes());
        builder.max_buf_size(limits.head_buffer_bytes());
        builder.half_close(half_close == HalfClose::KeepServing);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let ended = tokio::select! {
            biased;
            () = caller.evicted() => {
                log::info!("closed connection from {peer} to make room");
                return;
            }
            ended = connection.as_mut() => ended,
            () = stop.cancelled() => {
                connection.as_mut().graceful_shutdown();
                match tokio::time::timeout(drain_timeout, connection).await {
                    Ok(ended) => ended,
                    Err(_) => return,
                }
            }
        };
        match ended {
            Err(error) if error.is_parse_too_large() => {
                log::info!("closed connection from {peer}: request head too large");
                count_closed(CloseReason::HeadSize, 1);
            }
            Err(error) => log::debug!("connection from {peer} failed: {error}"),
            Ok(()) => {}
        }
    }
}

/// A request and its response.
struct Exchange {
    caller: Arc<CallerConnection>,
    state: ConnectionState,
    version: Version,
    has_body: bool,
    is_admitted: bool,
}

impl Exchange {
    fn begin(
        req: &hyper::Request<Incoming>,
        caller: &Arc<CallerConnection>,
        state: &ConnectionState,
    ) -> Exchange {
        let has_body = !req.body().is_end_stream();
        let phase = if has_body {
            Phase::Body
        } else {
            Phase::Running
        };
        Exchange {
            caller: Arc::clone(caller),
            state: state.clone(),
            version: req.version(),
            has_body,
            is_admitted: caller.enter(phase),
        }
    }

    fn end(self, response: Response) -> Response {
        if response.status().is_success() {
            self.caller.mark_served();
        } else if self.has_body {
            // A handler that rejects a request may not have read its body.
            self.state.unread_body.store(true, Ordering::Relaxed);
        }
        let ends_with_connection = ends_with_connection(&response, self.version);
        let response = response.map(|body| ServedBody::new(body, self.caller).boxed_unsync());
        if !ends_with_connection {
            return response;
        }
        let unfinished = self.state.unfinished_response;
        response.map(|body| TrackedBody::new(body, unfinished).boxed_unsync())
    }
}

/// Rejects a connection with 503. If the response can't be written immediately, the
/// connection is closed without one.
fn reject_connection(stream: &TcpStream, peer: SocketAddr) {
    log::warn!("rejected connection from {peer}: too many connections");
    count_refused(Refused::Connection);
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
