//! What an entry tells of itself.

use std::net::SocketAddr;

/// What an entry tells of itself to each control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// Name from its settings.
    pub name: String,
    /// Drawn anew at each start of the process, higher at each later one.
    pub incarnation: u64,
    /// Counts the reports of this incarnation.
    pub sequence: u64,
    /// Availability zone.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Whether it takes new callers.
    pub open: bool,
    /// Number of the route table in force there; 0 for none.
    pub table: u64,
}

impl EntryReport {
    pub(crate) fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
