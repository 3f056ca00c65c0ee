//! How fast a target is, as the agent beside it reports.

use std::net::SocketAddr;
use std::time::Duration;

/// How fast a target is, as the agent beside it reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSpeed {
    /// Where the target accepts requests.
    pub address: SocketAddr,
    /// How many times longer than usual it takes for its work.
    pub slowdown: f64,
}

impl TargetSpeed {
    /// How long a report holds. Agents of slow targets repeat theirs every
    /// second, so one that is older comes from an agent that is gone.
    pub const VALIDITY: Duration = Duration::from_secs(3);
}
