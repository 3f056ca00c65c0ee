//! Settings of the fake service.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a fake plain service.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Listening address; port 0 lets the kernel choose one.
    pub address: SocketAddr,
    /// Time between a request and its response.
    pub delay: Duration,
    /// Limit of concurrent requests as reported by `/load`; it is not enforced.
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
