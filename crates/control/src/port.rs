//! What a deployment's own interface asks of a replica, by function call.

use crate::control::Control;
use bytes::Bytes;
use eyre::{Result, bail};
use member::{EntryReport, TargetReport};
use std::time::Duration;
use wire::proto::{RouteTable, RouteTableQuery, command, outcome, query, query_reply};

/// Longest wait for a table to be committed. Operators ask another replica
/// after a second or so; what waits longer is of no use to them.
const COMMIT_WITHIN: Duration = Duration::from_secs(2);
/// Longest wait for the newest table.
const READ_WITHIN: Duration = Duration::from_millis(900);

/// How long callers may keep the entries that they are told. Some keep them
/// three times as long; with two seconds an entry that leaves is free of nearly
/// all callers well within its time to end.
pub const ENTRANCES_KEPT: Duration = Duration::from_secs(2);

/// What became of a route table that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Replaced {
    /// It is held, or was overtaken by the table with this number.
    Held(u64),
    /// Nobody can say whether it is or will be held.
    Unknown,
}

impl Control {
    /// Has a route table committed, and waits for entries to go by it. The
    /// caller has checked it; the bytes are given back as they are.
    ///
    /// It may be handed in again after any answer, at any replica.
    pub async fn replace_table(&self, number: u64, source: Bytes) -> Replaced {
        let table = RouteTable { number, source };
        let body = command::Body::RouteTable(table);
        let outcome = self.asker().propose_within(body, COMMIT_WITHIN).await;
        match outcome.body {
            Some(outcome::Body::RouteTable(held)) => {
                self.hub().in_force(held.newest).await;
                log::info!(table = number, newest = held.newest; "route table accepted");
                Replaced::Held(held.newest)
            }
            Some(outcome::Body::Unavailable(answer)) => {
                log::warn!(table = number; "route table not accepted: {}", answer.reason);
                Replaced::Unknown
            }
            _ => Replaced::Unknown,
        }
    }

    /// The newest route table, or none if none was ever accepted.
    ///
    /// # Errors
    ///
    /// No leader answers, so a newer one may stand elsewhere.
    pub async fn newest_table(&self) -> Result<Option<RouteTable>> {
        let body = query::Body::RouteTable(RouteTableQuery {});
        let reply = self.asker().query_within(body, READ_WITHIN).await?;
        match reply.body {
            Some(query_reply::Body::RouteTable(table)) => Ok((table.number > 0).then_some(table)),
            _ => bail!("unexpected answer"),
        }
    }

    /// Takes what a target tells of itself. Returns false if it must not be
    /// acknowledged, because too few others know of it.
    pub async fn hear(&self, told: TargetReport) -> bool {
        self.hub().hear(told).await
    }

    /// Takes the word that a target has left, as [`Control::hear`].
    pub async fn leave(&self, id: &str, born: Option<u64>) -> bool {
        self.hub().leave(id, born).await
    }

    /// The entries that callers may be sent to.
    #[must_use]
    pub fn entrances(&self) -> Vec<EntryReport> {
        self.hub().open_entrances()
    }

    /// Exchanges the seeds: the settings name others now.
    pub fn set_seeds(&self, seeds: Vec<std::net::SocketAddr>) {
        self.seeds().send_if_modified(|known| {
            let news = *known != seeds;
            *known = seeds;
            news
        });
    }
}
