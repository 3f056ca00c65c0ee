//! Listening sockets of a replica.

use tokio::net::TcpListener;

/// Listening sockets of a replica, bound by the caller.
#[derive(Debug)]
pub struct Listeners {
    /// Accepts links of replicas, entries and agents.
    pub links: TcpListener,
    /// Accepts operators' HTTP connections.
    pub http: TcpListener,
}
