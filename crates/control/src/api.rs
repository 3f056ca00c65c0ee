//! API of a replica for the process that embeds it.

use crate::control::Control;
use bytes::Bytes;
use eyre::{Result, bail};
use member::{EntryReport, TargetReport};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::time::Duration;
use wire::proto::{
    Evacuate, EvacuationQuery, RouteTable, RouteTableQuery, command, outcome, query, query_reply,
};

/// Timeout for committing a table. Operators ask another replica after about a
/// second, so waiting longer is of no use to them.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for reading the newest table.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which callers may cache the list of entries. Some cache it for three
/// times as long. With 2 s an entry that leaves loses nearly all its callers well
/// within its shutdown time.
pub const ENTRY_LIST_TTL: Duration = Duration::from_secs(2);

/// Outcome of [`Control::replace_table`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplaceOutcome {
    /// The table was committed, or superseded by a newer one; the newest table has
    /// this number.
    Accepted(u64),
    /// It is not known whether the table was or will be committed.
    Unknown,
}

/// Outcome of [`Control::evacuate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuateOutcome {
    /// The order was committed, or was carried out before.
    Accepted,
    /// The order would change the evacuations that have this number. It is carried out if
    /// its caller confirms it by sending it again with the number.
    Unconfirmed(u64),
    /// The settings don't list the availability zone.
    UnknownZone,
    /// It is not known whether the order was or will be committed.
    Unknown,
}

/// Evacuations as a leader reports them.
#[derive(Deserialize)]
struct Known {
    /// None from a leader of an earlier version.
    #[serde(default)]
    number: Option<u64>,
    evacuated: BTreeSet<String>,
}

impl Control {
    /// Commits a route table and waits, for a limited time, until it is in force on
    /// all entries. The table must already be validated; its bytes are returned
    /// unchanged by [`Control::newest_table`].
    ///
    /// The call is idempotent and may be repeated after any outcome, at any replica.
    pub async fn replace_table(&self, number: u64, source: Bytes) -> ReplaceOutcome {
        let table = RouteTable {
            number,
            source,
            ..RouteTable::default()
        };
        let body = command::Body::RouteTable(table);
        let outcome = self
            .leader_client()
            .propose_with_timeout(body, COMMIT_TIMEOUT)
            .await;
        match outcome.body {
            Some(outcome::Body::RouteTable(accepted)) => {
                let newest = accepted.newest;
                self.gossip().wait_in_force(newest).await;
                log::info!(table = number, newest = newest; "route table accepted");
                ReplaceOutcome::Accepted(newest)
            }
            Some(outcome::Body::Unavailable(answer)) => {
                log::warn!(table = number; "route table not accepted: {}", answer.reason);
                ReplaceOutcome::Unknown
            }
            _ => ReplaceOutcome::Unknown,
        }
    }

    /// Starts or finishes the evacuation of an availability zone: its targets get no new
    /// requests, and running ones end in peace. Waits, for a limited time, until the
    /// order is in force on all entries.
    ///
    /// An order that changes anything is carried out only if `seen` is the number of the
    /// newest evacuations. A call may have waited in a socket for any time, while its caller
    /// has given up and sent this order and later ones to another replica; a number that
    /// the caller has sent back shows that it still waited when the evacuations had it.
    ///
    /// The call is idempotent and may be repeated after any outcome, at any replica.
    pub async fn evacuate(&self, zone: &str, active: bool, seen: Option<u64>) -> EvacuateOutcome {
        let seen = match seen {
            Some(seen) => Some(seen),
            None => match self.known_evacuations().await {
                Ok(Known { number, evacuated }) => match number {
                    Some(number) if evacuated.contains(zone) != active => {
                        return EvacuateOutcome::Unconfirmed(number);
                    }
                    number => number,
                },
                Err(e) => {
                    log::warn!(zone = zone; "evacuation order not accepted: {e}");
                    return EvacuateOutcome::Unknown;
                }
            },
        };
        let body = command::Body::Evacuate(Evacuate {
            zone: zone.to_owned(),
            active,
            seen,
        });
        let outcome = self
            .leader_client()
            .propose_with_timeout(body, COMMIT_TIMEOUT)
            .await;
        match outcome.body {
            Some(outcome::Body::Evacuation(answer)) if answer.known => {
                let number = answer.evacuations.map_or(0, |e| e.number);
                if answer.outdated {
                    return EvacuateOutcome::Unconfirmed(number);
                }
                self.gossip().wait_evacuations_in_force(number).await;
                log::info!(zone = zone, active = active, number = number; "evacuation order accepted");
                EvacuateOutcome::Accepted
            }
            Some(outcome::Body::Evacuation(_)) => {
                log::warn!(zone = zone; "evacuation order refused: unknown availability zone");
                EvacuateOutcome::UnknownZone
            }
            Some(outcome::Body::Unavailable(answer)) => {
                log::warn!(zone = zone; "evacuation order not accepted: {}", answer.reason);
                EvacuateOutcome::Unknown
            }
            _ => EvacuateOutcome::Unknown,
        }
    }

    /// Reads the newest evacuations.
    async fn known_evacuations(&self) -> Result<Known> {
        let body = query::Body::Evacuations(EvacuationQuery {});
        let reply = self
            .leader_client()
            .query_with_timeout(body, READ_TIMEOUT)
            .await?;
        match reply.body {
            Some(query_reply::Body::Json(json)) => Ok(serde_json::from_slice(&json)?),
            _ => bail!("unexpected answer"),
        }
    }

    /// Returns the newest route table, or `None` if none was ever accepted.
    ///
    /// # Errors
    ///
    /// Fails if no leader answers in time: this replica may lack a newer table.
    pub async fn newest_table(&self) -> Result<Option<RouteTable>> {
        let body = query::Body::RouteTable(RouteTableQuery::default());
        let reply = self
            .leader_client()
            .query_with_timeout(body, READ_TIMEOUT)
            .await?;
        match reply.body {
            Some(query_reply::Body::RouteTable(table)) => Ok((table.number > 0).then_some(table)),
            _ => bail!("unexpected answer"),
        }
    }

    /// Records a target's check-in. Returns `false` if it must not be acknowledged
    /// because too few other processes have confirmed it.
    pub async fn update_target(&self, sighting: TargetReport) -> bool {
        self.gossip().update_target(sighting).await
    }

    /// Records that a target has left. `born` is the target's incarnation, if known.
    /// Returns `false` if it must not be acknowledged.
    pub async fn remove_target(&self, id: &str, born: Option<u64>) -> bool {
        self.gossip().remove_target(id, born).await
    }

    /// Returns the entries that accept new callers.
    #[must_use]
    pub fn open_entries(&self) -> Vec<EntryReport> {
        self.gossip().open_entries()
    }

    /// Replaces the seeds after the settings have changed.
    pub fn set_seeds(&self, seeds: Vec<std::net::SocketAddr>) {
        self.seeds().send_if_modified(|current| {
            let changed = *current != seeds;
            *current = seeds;
            changed
        });
    }
}
