//! What a target reports about itself.

use crate::Presence;
use std::net::SocketAddr;
use std::time::Duration;

/// What a target without an agent reports about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetReport {
    /// Identifier of the target's process; usually a new one after a restart.
    pub id: String,
    /// Service that the target serves.
    pub service: String,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts work.
    pub presence: Presence,
    /// Start time of this incarnation in Unix milliseconds, by the target's
    /// clock. Compared only with start times that targets report.
    pub started_ms: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
    /// How much longer the target is cold. A cold target bears fewer requests a second.
    pub cold: Duration,
}

impl TargetReport {
    /// Sort key of the reports of one target: start time of the incarnation,
    /// then sequence number.
    pub(crate) fn order(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}
