//! Listening sockets of an entry.

use tokio::net::TcpListener;

/// Listening sockets of an entry, bound before it starts.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for callers and operators.
    pub http: TcpListener,
}
