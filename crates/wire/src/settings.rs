//! Times and sizes of links.

use std::time::Duration;

/// Beats without a byte from the other side after which a link is closed.
pub(crate) const SILENT_BEATS: u32 = 3;

/// Times and sizes of links.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// Time between two heartbeats; three without a byte close the link.
    pub heartbeat_interval: Duration,
    /// Longest time for the connection alone.
    pub connect_timeout: Duration,
    /// Longest time for the connection and its handshake.
    pub dial_timeout: Duration,
    /// Shortest and longest pause before dialling again.
    pub redial_backoff: (Duration, Duration),
    /// Bytes of the largest frame.
    pub max_frame: usize,
    /// Messages that may wait for the socket, and for the receiver, before the
    /// sender has to wait.
    pub queue_capacity: usize,
}

impl LinkSettings {
    /// How long a link may be silent.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let cfg = wire::LinkSettings { heartbeat_interval: Duration::from_millis(500), ..Default::default() };
    /// assert_eq!(cfg.silence_timeout(), Duration::from_millis(1500));
    /// ```
    #[must_use]
    pub fn silence_timeout(&self) -> Duration {
        self.heartbeat_interval * SILENT_BEATS
    }
}

/// Eight round trips between distant regions. The kernel sends the packet that
/// opens a connection again after a second (RFC 6298, section 2.1): whoever
/// dials a host that is just starting would wait for that second, though the
/// host answers long before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            heartbeat_interval: Duration::from_millis(500),
            connect_timeout: CONNECT_TIMEOUT,
            dial_timeout: Duration::from_secs(2),
            redial_backoff: (Duration::from_millis(50), Duration::from_secs(1)),
            max_frame: 64 << 20,
            queue_capacity: 1024,
        }
    }
}
