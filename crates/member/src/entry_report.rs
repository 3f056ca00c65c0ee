//! What an entry reports about itself.

use crate::TableDigest;
use std::net::SocketAddr;

/// What an entry reports about itself to each control replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryReport {
    /// Name from its settings.
    pub name: String,
    /// Generated at each start of the process; later starts have higher values.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub sequence: u64,
    /// Availability zone.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Address at which it accepts callers.
    pub address: SocketAddr,
    /// Whether it accepts new callers.
    pub open: bool,
    /// Number of the route table in use; 0 for none.
    pub table: u64,
    /// Digest of that table; `None` for none, and from entries that do not report it.
    pub table_digest: Option<TableDigest>,
    /// Number of the evacuations in force at the entry; 0 for none.
    pub evacuations: u64,
}

impl EntryReport {
    /// Sort key of the reports of one entry: incarnation, then sequence number.
    pub(crate) fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }
}
