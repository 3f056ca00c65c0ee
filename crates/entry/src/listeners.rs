//! The sockets of an entry.

use tokio::net::TcpListener;

/// The sockets of an entry, bound before it starts.
#[derive(Debug)]
pub struct Listeners {
    /// For callers and operators.
    pub http: TcpListener,
}
