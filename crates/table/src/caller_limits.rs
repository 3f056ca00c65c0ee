//! What a caller may send, and how long it may take.

use std::time::Duration;

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head at most.
    pub head_bytes: usize,
    /// Bytes of a request's body at most.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its last at most.
    pub head_timeout: Duration,
    /// Time that a connection may stay unused.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// What an entry goes by until a table says otherwise.
    fn default() -> Self {
        CallerLimits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
