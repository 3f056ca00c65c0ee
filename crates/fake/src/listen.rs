//! Binds listeners.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, ToSocketAddrs, lookup_host};

/// Length of the queue of connections that are not accepted yet; the kernel reduces it to
/// its own maximum.
const BACKLOG: u32 = i32::MAX as u32;

/// Binds a listener with the longest queue of new connections that the kernel allows, so
/// that hundreds of callers can connect at once to a fake on a busy host.
pub(crate) async fn listen(address: impl ToSocketAddrs) -> io::Result<TcpListener> {
    let address = lookup_host(address).await?.next();
    let address = address.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
