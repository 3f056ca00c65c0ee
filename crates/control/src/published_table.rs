//! The route table that a replica publishes.

use member::TableDigest;
use serde_json::{Value, json};
use wire::proto::{Entrance, RouteTable};

/// The route table in force on a replica, with the digest of its content.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublishedTable {
    pub(crate) table: RouteTable,
    /// `None` until a table is in force.
    digest: Option<TableDigest>,
}

impl PublishedTable {
    pub(crate) fn new(table: &RouteTable) -> PublishedTable {
        let digest = TableDigest::of(&table.source);
        let table = RouteTable {
            digest: digest.0,
            ..table.clone()
        };
        PublishedTable {
            table,
            digest: Some(digest),
        }
    }

    /// The digest as text; empty if no table is in force.
    pub(crate) fn digest(&self) -> String {
        self.digest.map_or_else(String::new, |d| d.to_string())
    }

    /// Number and digest, for operators.
    pub(crate) fn to_json(&self) -> Value {
        json!({ "number": self.table.number, "digest": self.digest() })
    }

    /// Whether an entry reports an older table.
    pub(crate) fn is_newer_than(&self, entry: &Entrance) -> bool {
        entry.table < self.table.number
    }

    /// Whether an entry reports other content under the number of this table. A replica of
    /// an earlier version may have sent it a table that was not committed.
    pub(crate) fn contradicts(&self, entry: &Entrance) -> bool {
        let reported = (entry.table_digest != 0).then_some(TableDigest(entry.table_digest));
        entry.table == self.table.number && reported.is_some() && reported != self.digest
    }
}
