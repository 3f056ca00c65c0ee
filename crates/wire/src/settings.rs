//! Settings of links.

use std::time::Duration;

/// Number of heartbeat intervals without any data from the peer after which a link is closed.
pub(crate) const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Timeouts and limits of links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Time between two heartbeats. A link without any data from the peer for three
    /// intervals is closed.
    pub heartbeat_interval: Duration,
    /// Timeout for establishing the TCP connection.
    pub connect_timeout: Duration,
    /// Timeout for establishing the connection and completing the handshake.
    pub dial_timeout: Duration,
    /// Minimum and maximum backoff between dial attempts.
    pub redial_backoff: (Duration, Duration),
    /// Maximum size of a frame, in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of messages queued for the socket, and for the receiver, before senders
    /// have to wait.
    pub queue_capacity: usize,
}

impl LinkSettings {
    /// Time without any data from the peer after which a link is closed.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let cfg = wire::LinkSettings {
    ///     heartbeat_interval: Duration::from_millis(500),
    ///     ..Default::default()
    /// };
    /// assert_eq!(cfg.silence_timeout(), Duration::from_millis(1500));
    /// ```
    #[must_use]
    pub fn silence_timeout(&self) -> Duration {
        self.heartbeat_interval * MAX_MISSED_HEARTBEATS
    }
}

/// Eight round trips between distant regions. The kernel retransmits an unanswered SYN only
/// after one second (RFC 6298, section 2.1); with a longer timeout, dialling a host that is
/// just starting would wait for that second, although the host is ready much earlier.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            heartbeat_interval: Duration::from_millis(500),
            connect_timeout: CONNECT_TIMEOUT,
            dial_timeout: Duration::from_secs(2),
            redial_backoff: (Duration::from_millis(50), Duration::from_secs(1)),
            max_frame_bytes: 64 << 20,
            queue_capacity: 1024,
        }
    }
}
