//! What a target tells of itself.

use crate::Presence;
use std::net::SocketAddr;

/// What a target without an agent tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Identity of the target's process; a restart mostly makes a new one.
    pub id: String,
    /// The service that it is a target of.
    pub service: String,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub presence: Presence,
    /// Milliseconds since 1970 at which this incarnation started, by the
    /// target's own clock. Only compared with the target's other words.
    pub started_ms: u64,
    /// Counts what this incarnation has told.
    pub sequence: u64,
}

impl TargetReport {
    /// Orders what one target tells: the later incarnation, then the later
    /// word of it.
    pub(crate) fn order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
