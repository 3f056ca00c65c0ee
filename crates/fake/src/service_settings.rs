//! Settings of the plain service.

use std::net::SocketAddr;
use std::time::Duration;

/// How a plain service behaves.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Where it listens; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Time between a request and its answer.
    pub delay: Duration,
    /// Requests at once, as told by its load.
    pub reported_limit: u32,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        ServiceSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            delay: Duration::ZERO,
            reported_limit: 64,
        }
    }
}
