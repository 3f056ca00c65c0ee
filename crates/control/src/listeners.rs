//! Listening sockets of a replica.

use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Listening sockets of a replica.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts links of replicas, entries and agents.
    pub links: TcpListener,
    /// Accepts operators' HTTP connections.
    pub http: HttpListener,
}

/// Listening socket of the operators' HTTP server.
#[derive(Debug)]
pub enum HttpListener {
    /// Bound by the caller.
    Bound(TcpListener),
    /// Bound as soon as the address is free; the replica runs in the meantime.
    WhenFree(SocketAddr),
}

impl HttpListener {
    /// Returns the address, which has no port yet if the kernel is to choose one.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        match self {
            HttpListener::Bound(listener) => listener.local_addr(),
            HttpListener::WhenFree(address) => Ok(*address),
        }
    }
}

impl From<TcpListener> for HttpListener {
    fn from(listener: TcpListener) -> HttpListener {
        HttpListener::Bound(listener)
    }
}
