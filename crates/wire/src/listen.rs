//! Binds listeners.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// Length of the queue of connections that are not accepted yet. The kernel reduces it to
/// its own maximum, on Linux `net.core.somaxconn`.
const BACKLOG: u32 = i32::MAX as u32;

/// Pauses before the first and the later attempts to bind an address that is not free; they
/// double in between.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(320));

/// Binds a listener with the longest queue of new connections that the kernel allows.
///
/// The standard library queues 128. When a fleet or its callers start together, the kernel
/// drops what exceeds the queue, and the peer repeats it only after a second.
///
/// # Errors
///
/// Fails when the address is in use or does not belong to this host. The error names the
/// address.
///
/// # Panics
///
/// Panics outside a runtime.
///
/// ```
/// # fn main() -> std::io::Result<()> {
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
/// # runtime.block_on(async {
/// let listener = wire::listen("127.0.0.1:0".parse().unwrap())?;
/// assert!(wire::listen(listener.local_addr()?).is_err());
/// # std::io::Result::Ok(())
/// # })
/// # }
/// ```
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind(address).map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))
}

/// Like [`listen`], but waits until the address is free.
///
/// Another process may hold the address for a moment, such as the previous one on this
/// host or an outgoing connection whose port the kernel chose; an interface may come up
/// late, and descriptors may run short. The wait is logged once.
///
/// # Errors
///
/// Fails when the address can never be bound, for example for lack of permission. The
/// error names the address.
///
/// # Panics
///
/// Panics outside a runtime with timers.
///
/// ```
/// # fn main() -> std::io::Result<()> {
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
/// # runtime.block_on(async {
/// let previous = wire::listen("127.0.0.1:0".parse().unwrap())?;
/// let address = previous.local_addr()?;
/// let waiting = tokio::spawn(wire::listen_when_free(address));
/// drop(previous);
/// assert_eq!(waiting.await??.local_addr()?, address);
/// # std::io::Result::Ok(())
/// # })
/// # }
/// ```
pub async fn listen_when_free(address: SocketAddr) -> io::Result<TcpListener> {
    let (mut delay, max_delay) = RETRY_BACKOFF;
    let mut is_reported = false;
    loop {
        match listen(address) {
            Err(e) if is_temporary(&e) => {
                if !is_reported {
                    log::warn!("{e}; trying again until it is free");
                    is_reported = true;
                }
            }
            done => {
                if is_reported && done.is_ok() {
                    log::info!("listening on {address}, which is free now");
                }
                return done;
            }
        }
        sleep(delay).await;
        delay = (delay * 2).min(max_delay);
    }
}

fn is_temporary(e: &io::Error) -> bool {
    !matches!(
        e.kind(),
        ErrorKind::PermissionDenied | ErrorKind::Unsupported | ErrorKind::InvalidInput
    )
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A restarted process binds the address of the previous one at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
