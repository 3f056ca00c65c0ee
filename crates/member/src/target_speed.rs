//! Speed of a target as reported by its agent.

use std::net::SocketAddr;
use std::time::Duration;

/// Speed of a target as reported by the agent on its host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSpeed {
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Processing time as a multiple of the usual one.
    pub slowdown: f64,
}

impl TargetSpeed {
    /// How long a report is valid. Agents of slow targets repeat their report
    /// every second, so an older one comes from an agent that no longer runs.
    pub const VALIDITY: Duration = Duration::from_secs(3);
}
