//! Forwarding of the renewals of other nodes.

use crate::leader_call::call_leader;
use crate::route_tables::{is_table_query, table_reply};
use crate::shared::Shared;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use wire::proto::frame::Body;
use wire::proto::{NotLeader, Notes, Renew, RenewBatch, Renewed, RenewedBatch};
use wire::{Incoming, Link};

/// A batch collects renewals for the renewal interval divided by this number.
const BATCH_DELAY_DIVISOR: u32 = 8;
/// Minimum delay until a node's next renewal, when it is aligned with the others: the
/// renewal interval divided by this number.
const MIN_DELAY_DIVISOR: u32 = 8;
/// Maximum number of waiting renewals; nodes beyond it are told to renew directly.
const MAX_PENDING: usize = 1024;

/// Forwards the renewals of other nodes to the leader in batches.
#[derive(Default)]
pub(crate) struct RenewalRelay {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Waiting renewals, with the link and call number for the answer.
    pending: Vec<(Renew, Link, u64)>,
    /// Links of the nodes that renew through this one, by name.
    links: BTreeMap<String, Link>,
    /// Reference time of the common schedule: renewals of all nodes are aligned to it, at
    /// multiples of the renewal interval.
    schedule_start: Option<Instant>,
    /// The release notes that were fetched last, and the number that they follow.
    notes: Option<(u64, Notes)>,
}

impl RenewalRelay {
    /// Queues a renewal. After the first one in a batch, the caller must run [`flush`].
    fn push(&self, renew: Renew, link: Link, call: u64) -> Queued {
        let mut state = self.state();
        state.links.retain(|_, link| !link.is_closed());
        state.links.insert(link.peer().name.clone(), link.clone());
        if state.pending.len() >= MAX_PENDING {
            return Queued::Full;
        }
        state.pending.push((renew, link, call));
        if state.pending.len() == 1 {
            Queued::First
        } else {
            Queued::Additional
        }
    }

    /// Forwards a hint of control to the nodes that renew through this one.
    pub(crate) fn forward_hint(&self, hint: &Body) {
        for link in self.state().links.values() {
            let (link, hint) = (link.clone(), hint.clone());
            tokio::spawn(async move {
                // A lost hint only causes a delay until the next renewal.
                let _ = link.send(hint).await;
            });
        }
    }

    /// Caches fetched release notes for the nodes that will request the same.
    pub(crate) fn cache_notes(&self, after: u64, notes: Notes) {
        let mut state = self.state();
        if !state.links.is_empty() {
            state.notes = Some((after, notes));
        }
    }

    fn cached_notes(&self, after: u64) -> Option<Notes> {
        let state = self.state();
        let (cached_after, notes) = state.notes.as_ref()?;
        (*cached_after == after).then(|| notes.clone())
    }

    /// Returns the delay until the next renewal of the nodes in a batch, which aligns the
    /// renewals of all nodes over time.
    fn next_delay(&self, now: Instant, interval: Duration) -> Duration {
        let mut state = self.state();
        let start = *state.schedule_start.get_or_insert(now);
        let since = now.saturating_duration_since(start).as_nanos();
        let past = since % interval.as_nanos().max(1);
        let past = Duration::from_nanos(u64::try_from(past).unwrap_or(0));
        let next = interval.saturating_sub(past);
        if next < interval / MIN_DELAY_DIVISOR {
            next + interval
        } else {
            next
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Queued {
    First,
    Additional,
    Full,
}

/// Handles a message that another node sends for forwarding.
pub(crate) fn handle(shared: &Arc<Shared>, incoming: Incoming) {
    let Incoming { call, body, link } = incoming;
    match body {
        Body::Renew(renew) => match shared.renewal_relay.push(renew, link.clone(), call) {
            Queued::First => {
                tokio::spawn(flush(Arc::clone(shared)));
            }
            Queued::Additional => {}
            Queued::Full => redirect_to_leader(link, call),
        },
        Body::FetchNotes(fetch) => {
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                let body = match shared.renewal_relay.cached_notes(fetch.after) {
                    Some(notes) => Body::Notes(notes),
                    None => call_or_not_leader(&shared, Body::FetchNotes(fetch)).await,
                };
                // The node may have disconnected.
                let _ = link.reply(call, body).await;
            });
        }
        query if is_table_query(&query) => {
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                let table = shared.route_tables.get(&shared).await;
                // Without a table the node asks a replica itself. It may have disconnected.
                let _ = link
                    .reply(call, table_reply(table.unwrap_or_default()))
                    .await;
            });
        }
        _ => log::debug!("ignored a message of {}", link.peer().name),
    }
}

/// Sends all waiting renewals to the leader in one message and answers each node.
async fn flush(shared: Arc<Shared>) {
    let interval = shared.renew_interval();
    tokio::time::sleep(interval / BATCH_DELAY_DIVISOR).await;
    let pending = std::mem::take(&mut shared.renewal_relay.state().pending);
    let (renewals, reply_to): (Vec<Renew>, Vec<(Link, u64)>) = pending
        .into_iter()
        .map(|(renew, link, call)| (renew, (link, call)))
        .unzip();
    let batch = Body::RenewBatch(RenewBatch { renewals });
    let answers = match call_or_not_leader(&shared, batch).await {
        Body::RenewedBatch(batch) => unpack(batch),
        _ => Vec::new(),
    };
    let next = shared.renewal_relay.next_delay(Instant::now(), interval);
    let next_ms = u32::try_from(next.as_millis()).unwrap_or(0);
    let mut answers = answers.into_iter();
    for (link, call) in reply_to {
        match answers.next() {
            Some(renewed) => reply(link, call, Body::Renewed(Renewed { next_ms, ..renewed })),
            None => redirect_to_leader(link, call),
        }
    }
}

/// Copies the views and the quarantine that several answers share into each of them.
fn unpack(batch: RenewedBatch) -> Vec<Renewed> {
    let RenewedBatch {
        renewals,
        views,
        quarantine,
    } = batch;
    let renewals = renewals.into_iter().map(|renewed| {
        let view = usize::try_from(renewed.shared_view).ok();
        let view = view.and_then(|position| position.checked_sub(1));
        let view = view.and_then(|index| views.get(index).cloned());
        let quarantine = quarantine.clone().filter(|_| renewed.shared_quarantine);
        Renewed {
            view,
            quarantine,
            shared_view: 0,
            shared_quarantine: false,
            ..renewed
        }
    });
    renewals.collect()
}

/// Returns the leader's answer, or `NotLeader` if none answered.
async fn call_or_not_leader(shared: &Shared, body: Body) -> Body {
    // A node waits for three quarters of the renewal interval in total.
    let within = shared.renew_interval() / 2;
    let answer = call_leader(shared, &body, within).await;
    answer.unwrap_or_else(|_| Body::NotLeader(NotLeader::default()))
}

/// Tells a node to renew directly.
fn redirect_to_leader(link: Link, call: u64) {
    reply(link, call, Body::NotLeader(NotLeader::default()));
}

fn reply(link: Link, call: u64, body: Body) {
    tokio::spawn(async move {
        // A node that has disconnected needs no answer.
        let _ = link.reply(call, body).await;
    });
}
