//! Limits of an HTTP server.

use std::time::Duration;

use intake::Limits;

use crate::{ConnectionLimits, available_memory};

/// Part of the available memory that callers of a server may make it hold by default.
const DEFAULT_MEMORY_PART: usize = 16;

/// Minimum part of [`ServerSettings::max_bytes`] that one connection leaves to others.
const CONNECTION_PART: usize = 16;

/// Limits of an HTTP server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSettings {
    /// Maximum number of connections. Beyond it, connections that do not advance are closed
    /// to admit new ones; if there are none, new ones are rejected with 503.
    pub max_connections: usize,
    /// Maximum number of bytes that all callers together make the server hold: receive
    /// buffers, request heads and request bodies. Beyond it, connections that do not
    /// advance are closed, and further bodies are rejected with 503.
    pub max_bytes: usize,
    /// Limits of each connection.
    pub connection: ConnectionLimits,
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
            max_bytes: available_memory() / DEFAULT_MEMORY_PART,
            connection: ConnectionLimits::default(),
            peer_timeout: Duration::from_secs(20),
            drain_timeout: Duration::from_secs(30),
            half_close: HalfClose::KeepServing,
        }
    }
}

impl ServerSettings {
    pub(crate) fn intake_limits(&self) -> Limits {
        Limits {
            connections: self.max_connections,
            bytes: self.max_bytes,
        }
    }

    /// Bounds the size of a head so that one connection leaves room for others.
    pub(crate) fn bound(&self, limits: ConnectionLimits) -> ConnectionLimits {
        ConnectionLimits {
            head_bytes: limits.head_bytes.min(self.max_bytes / CONNECTION_PART),
            ..limits
        }
    }
}
