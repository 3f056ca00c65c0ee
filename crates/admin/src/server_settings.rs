//! Limits of an HTTP server.

use std::time::Duration;

/// Limits of an HTTP server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerSettings {
    /// Most connections at once; those beyond get 503 at once.
    pub max_connections: usize,
    /// How long the head of a request may take to arrive, and how long a
    /// connection may stay open without one.
    pub head_timeout: Duration,
    /// How long sent bytes may stay unacknowledged, and how often an idle
    /// connection is probed: a peer that vanished without a word is noticed.
    pub peer_timeout: Duration,
    /// How long open requests may go on after the server was told to stop.
    pub drain_timeout: Duration,
    /// What a peer that shuts down its sending side means by it.
    pub half_close: HalfClose,
}

/// What a peer that shuts down its sending side means by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HalfClose {
    /// It still reads the answer.
    KeepServing,
    /// It has gone. A request in progress is dropped, so that what it holds
    /// is free for others; a caller that hangs up can't be told apart from one
    /// that only stops sending.
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
