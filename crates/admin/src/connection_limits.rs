//! Limits of one connection.

use std::time::Duration;

use intake::Timeouts;

/// Allowance for the request line, which no limit on headers counts.
const REQUEST_LINE_BYTES: usize = 8 << 10;

/// Receive buffer of a connection. Bytes that arrive faster than they are read wait there,
/// and the kernel counts them as memory of the process.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 32 << 10;

/// Linux reserves twice the size that is set, for its own structures.
const KERNEL_FACTOR: usize = 2;

/// Memory of a connection besides its receive buffer and its read buffer.
const TASK_BYTES: usize = 16 << 10;

/// Limits of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum size of the headers of a request in bytes; more is 431.
    pub head_bytes: usize,
    /// Maximum time from the first byte of a request head to its last.
    pub head_timeout: Duration,
    /// Maximum time without a byte of a request.
    pub idle_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        ConnectionLimits {
            head_bytes: 16 << 10,
            head_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

impl ConnectionLimits {
    /// Maximum size of the request line and the headers.
    pub(crate) fn head_buffer_bytes(&self) -> usize {
        self.head_bytes.saturating_add(REQUEST_LINE_BYTES)
    }

    /// Bytes that a connection may make the process hold besides its request bodies.
    pub(crate) fn own_bytes(&self) -> usize {
        let fixed = KERNEL_FACTOR * RECEIVE_BUFFER_BYTES + TASK_BYTES;
        self.head_buffer_bytes().saturating_add(fixed)
    }

    pub(crate) fn timeouts(&self) -> Timeouts {
        Timeouts {
            idle: self.idle_timeout,
            head: self.head_timeout,
        }
    }
}
