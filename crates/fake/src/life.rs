//! One life of a stand-in: its socket and connections, until it dies.

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

use crate::http::Reply;

const BIND_ATTEMPTS: u32 = 200;
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// Serves `handle` on a socket until `dead` is cancelled; then the socket and
/// all connections are closed at once, as when a process is killed.
pub(crate) async fn serve<S, F, R>(
    address: SocketAddr,
    state: Arc<S>,
    dead: CancellationToken,
    handle: F,
) -> io::Result<SocketAddr>
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Reply> + Send + 'static,
{
    let listener = bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = dead.cancelled() => break,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else { continue };
            let conn = connection(stream, Arc::clone(&state), handle.clone());
            let dead = dead.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = dead.cancelled() => {}
                    () = conn => {}
                }
            });
        }
    });
    Ok(address)
}

/// A stand-in that starts again waits until its former socket is closed.
async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..BIND_ATTEMPTS {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_PAUSE).await;
            }
            bound => return bound,
        }
    }
    TcpListener::bind(address).await
}

async fn connection<S, F, R>(stream: TcpStream, state: Arc<S>, handle: F)
where
    F: Fn(Arc<S>, Request<Incoming>) -> R,
    R: Future<Output = Reply>,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| handle(Arc::clone(&state), req));
    // A handler's error is how a fault closes the connection.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
