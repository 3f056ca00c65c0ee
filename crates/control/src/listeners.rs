//! The sockets that a replica accepts on.

use tokio::net::TcpListener;

/// The sockets that a replica accepts on, bound by the caller.
#[derive(Debug)]
pub struct Listeners {
    /// Links of replicas, entries and agents.
    pub links: TcpListener,
    /// Operators' HTTP.
    pub http: TcpListener,
}
