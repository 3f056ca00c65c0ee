//! Route tables for the nodes that renew through this one.

use crate::leader_call::call_any_replica;
use crate::shared::Shared;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;
use wire::proto::frame::Body;
use wire::proto::{Query, QueryReply, RouteTable, RouteTableQuery, query, query_reply};
use wire::{Error, Result};

/// How long a table is handed on before it is fetched again.
const VALIDITY: Duration = Duration::from_secs(5);
/// Timeout for fetching a table for others.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The table that was fetched last for other nodes.
#[derive(Default)]
pub(crate) struct RouteTableCache {
    /// Locked while a table is fetched, so that nodes that start together share it.
    fetched: Mutex<Option<(RouteTable, Instant)>>,
}

impl RouteTableCache {
    /// The cached table, or else that of any replica.
    pub(crate) async fn get(&self, shared: &Shared) -> Option<RouteTable> {
        let mut fetched = self.fetched.lock().await;
        if let Some((table, at)) = &*fetched
            && at.elapsed() < VALIDITY
        {
            return Some(table.clone());
        }
        let table = table_of_any_replica(shared, FETCH_TIMEOUT).await.ok()?;
        if table.number > 0 {
            *fetched = Some((table.clone(), Instant::now()));
        }
        Some(table)
    }
}

/// Asks for the table that the recipient has, which may not be the newest.
pub(crate) fn table_query() -> Body {
    let any_replica = true;
    let query = query::Body::RouteTable(RouteTableQuery { any_replica });
    Body::Query(Query { body: Some(query) })
}

/// Whether a message is a [`table_query`].
pub(crate) fn is_table_query(body: &Body) -> bool {
    *body == table_query()
}

pub(crate) fn table_reply(table: RouteTable) -> Body {
    let body = Some(query_reply::Body::RouteTable(table));
    Body::QueryReply(QueryReply { body })
}

/// The table in a reply to a [`table_query`].
pub(crate) fn parse_reply(reply: Body) -> Option<RouteTable> {
    match reply {
        Body::QueryReply(QueryReply {
            body: Some(query_reply::Body::RouteTable(table)),
        }) => Some(table),
        _ => None,
    }
}

/// Reads the table of any replica.
///
/// # Errors
///
/// Fails if no replica answers within `within`.
pub(crate) async fn table_of_any_replica(shared: &Shared, within: Duration) -> Result<RouteTable> {
    let reply = call_any_replica(shared, &table_query(), within, within).await;
    let reply = reply.ok_or(Error::TimedOut)?;
    parse_reply(reply).ok_or_else(|| Error::Protocol("unexpected answer".to_owned()))
}
