//! The route table that a replica publishes.

use bytes::Bytes;
use member::TableDigest;
use serde_json::{Value, json};
use std::sync::{Arc, OnceLock};
use wire::proto::{Entrance, RouteTable};

/// How the content of a table is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TableForm {
    /// As it was accepted; entries of earlier versions understand nothing else.
    Plain,
    /// Compressed, if that makes it smaller.
    Compressed,
}

/// The route table in force on a replica, with the digest of its content.
#[derive(Clone, Debug, Default)]
pub(crate) struct PublishedTable {
    pub(crate) table: RouteTable,
    /// `None` until a table is in force.
    digest: Option<TableDigest>,
    /// The table with its content compressed, once it was needed.
    compressed: Arc<OnceLock<RouteTable>>,
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
            compressed: Arc::default(),
        }
    }

    /// The table as it is sent to an entry.
    pub(crate) fn message(&self, form: TableForm) -> RouteTable {
        if form == TableForm::Plain {
            return self.table.clone();
        }
        let compressed = self.compressed.get_or_init(|| {
            let compressed = wire::compress(&self.table.source);
            let source = match compressed {
                Some(_) => Bytes::new(),
                None => self.table.source.clone(),
            };
            RouteTable {
                source,
                compressed,
                ..self.table
            }
        });
        compressed.clone()
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
