//! Listening sockets of an agent.

use tokio::net::TcpListener;

/// Listening sockets of an agent, bound by the process that starts it.
#[derive(Debug)]
pub struct Listeners {
    /// For links from entries and other agents.
    pub links: TcpListener,
    /// For health, readiness and metrics.
    pub http: TcpListener,
}
