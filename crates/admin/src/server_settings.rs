//! Limits of an HTTP server.

use std::time::Duration;

/// Limits of an HTTP server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSettings {
    /// Maximum number of connections; further ones are rejected with 503.
    pub max_connections: usize,
    /// Maximum time to receive the head of a request; also the idle timeout of a
    /// connection.
    pub head_timeout: Duration,
    /// Time after which a peer that acknowledges neither data nor keepalive probes is
    /// considered gone.
    pub peer_timeout: Duration,
    /// Maximum time for requests in progress to finish after the server is stopped.
    pub drain_timeout: Duration,
    /// Reaction to a peer that shuts down its write side.
    pub half_close: HalfClose,
}

/// Reaction to a peer that shuts down its write side.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HalfClose {
    /// The peer still reads the response; requests in progress continue.
    KeepServing,
    /// The peer is treated as disconnected, since a caller that hangs up can't be
    /// distinguished from one that only stops sending. A request in progress is
    /// dropped, which frees its resources for others.
    Disconnect,
}

impl Default for ServerSettings {
    fn default() -> Self {
        ServerSettings {
            max_connections: 4_096,
            head_timeout: Duration::from_secs(30),
            peer_timeout: Duration::from_secs(20),
            drain_timeout: Duration::from_secs(30),
            half_close: HalfClose::KeepServing,
        }
    }
}
