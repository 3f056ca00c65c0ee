//! The sockets of an agent.

use tokio::net::TcpListener;

/// The sockets that an agent listens on, bound by whoever starts it.
#[derive(Debug)]
pub struct Listeners {
    /// For links of entries and of other agents.
    pub links: TcpListener,
    /// For health, readiness and metrics.
    pub http: TcpListener,
}
