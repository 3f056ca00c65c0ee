//! The HTTP server of a fake, which can be stopped as abruptly as a killed process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::http::HandlerResult;
use crate::listen::listen;

const MAX_BIND_ATTEMPTS: u32 = 200;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Serves requests with `handle` until `stop` is cancelled; then the socket and
/// all connections are closed at once, as when a process is killed.
pub(crate) async fn serve<S, F, R>(
    address: SocketAddr,
    state: Arc<S>,
    stop: CancellationToken,
    handle: F,
) -> io::Result<SocketAddr>
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = HandlerResult> + Send + 'static,
{
    let listener = bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                // A killed process accepts and answers nothing.
                biased;
                () = stop.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { continue };
            let conn = serve_connection(stream, Arc::clone(&state), handle.clone());
            let stop = stop.clone();
            tokio::spawn(async move {
                tokio::select! {
                    biased;
                    () = stop.cancelled() => {}
                    () = conn => {}
                }
            });
        }
    });
    Ok(address)
}

/// Binds an address; retries while the previous socket of a restarted fake is
/// still open.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..MAX_BIND_ATTEMPTS {
        match listen(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_RETRY_DELAY).await;
            }
            bound => return bound,
        }
    }
    listen(address).await
}

async fn serve_connection<S, F, R>(stream: TcpStream, state: Arc<S>, handle: F)
where
    F: Fn(Arc<S>, Request<Incoming>) -> R,
    R: Future<Output = HandlerResult>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| handle(Arc::clone(&state), req));
    // Handlers return an error to make a fault close the connection.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
