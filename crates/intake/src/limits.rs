//! Limits of a server.

use std::time::Duration;

/// Limits on what all callers together hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of bytes.
    pub bytes: usize,
}

/// Time limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Maximum time without a byte of a request.
    pub idle: Duration,
    /// Maximum time from the first byte of a request head to its last.
    pub head: Duration,
}
