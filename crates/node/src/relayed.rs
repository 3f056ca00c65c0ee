//! The renewals of other nodes that this one passes on.

use crate::ask::ask;
use crate::shared::Shared;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use wire::proto::frame::Body;
use wire::proto::{NotLeader, Notes, Renew, RenewBatch, Renewed, RenewedBatch};
use wire::{Incoming, Link};

/// Part of the time between two renewals for which further ones are waited for.
const WAIT_PART: u32 = 8;
/// A node is told to come with the others at least this part of the time between two
/// renewals after its last one.
const SOONEST_PART: u32 = 8;
/// Renewals that wait at once; more are sent away to renew straight.
const MOST_PENDING: usize = 1024;

/// The renewals of other nodes that this one passes on.
#[derive(Default)]
pub(crate) struct Relayed {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    pending: Vec<(Renew, Link, u64)>,
    /// Links of the nodes that renew here, by name.
    links: BTreeMap<String, Link>,
    /// The moment that the nodes are brought together at, again after each renewal time.
    slot: Option<Instant>,
    /// What was last fetched, and the number that it comes after.
    notes: Option<(u64, Notes)>,
}

impl Relayed {
    /// Takes a renewal in; the first one to wait has to be followed by a [`flush`].
    fn push(&self, renew: Renew, link: Link, call: u64) -> Pushed {
        let mut state = self.state();
        state.links.retain(|_, link| !link.is_closed());
        state.links.insert(link.peer().name.clone(), link.clone());
        if state.pending.len() >= MOST_PENDING {
            return Pushed::Full;
        }
        state.pending.push((renew, link, call));
        if state.pending.len() == 1 {
            Pushed::First
        } else {
            Pushed::Further
        }
    }

    /// Passes a hint of control on.
    pub(crate) fn hint(&self, hint: &Body) {
        for link in self.state().links.values() {
            let (link, hint) = (link.clone(), hint.clone());
            tokio::spawn(async move {
                // A hint only saves time; the next renewal tells the same.
                let _ = link.send(hint).await;
            });
        }
    }

    /// Keeps what was fetched for the nodes that will ask for the same.
    pub(crate) fn keep(&self, after: u64, notes: Notes) {
        let mut state = self.state();
        if !state.links.is_empty() {
            state.notes = Some((after, notes));
        }
    }

    fn kept(&self, after: u64) -> Option<Notes> {
        let state = self.state();
        let (of, notes) = state.notes.as_ref()?;
        (*of == after).then(|| notes.clone())
    }

    /// When the nodes of a batch are to come again, so that in time all come together.
    fn next(&self, now: Instant, renew: Duration) -> Duration {
        let mut state = self.state();
        let slot = *state.slot.get_or_insert(now);
        let since = now.saturating_duration_since(slot).as_nanos();
        let past = since % renew.as_nanos().max(1);
        let past = Duration::from_nanos(u64::try_from(past).unwrap_or(0));
        let next = renew.saturating_sub(past);
        if next < renew / SOONEST_PART {
            next + renew
        } else {
            next
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

enum Pushed {
    First,
    Further,
    Full,
}

/// Takes what another node sends to be passed on.
pub(crate) fn take(shared: &Arc<Shared>, incoming: Incoming) {
    let Incoming { call, body, link } = incoming;
    match body {
        Body::Renew(renew) => match shared.relayed.push(renew, link.clone(), call) {
            Pushed::First => {
                tokio::spawn(flush(Arc::clone(shared)));
            }
            Pushed::Further => {}
            Pushed::Full => send_away(link, call),
        },
        Body::FetchNotes(fetch) => {
            let shared = Arc::clone(shared);
            tokio::spawn(async move {
                let body = match shared.relayed.kept(fetch.after) {
                    Some(notes) => Body::Notes(notes),
                    None => asked(&shared, Body::FetchNotes(fetch)).await,
                };
                // Who asked may have gone.
                let _ = link.reply(call, body).await;
            });
        }
        _ => log::debug!("passed over a message of {}", link.peer().name),
    }
}

/// Sends all that wait to the leader in one message, and each its answer.
async fn flush(shared: Arc<Shared>) {
    let renew = shared.cfg.renew_interval;
    tokio::time::sleep(renew / WAIT_PART).await;
    let pending = std::mem::take(&mut shared.relayed.state().pending);
    let (renewals, back): (Vec<Renew>, Vec<(Link, u64)>) = pending
        .into_iter()
        .map(|(renew, link, call)| (renew, (link, call)))
        .unzip();
    let batch = Body::RenewBatch(RenewBatch { renewals });
    let answers = match asked(&shared, batch).await {
        Body::RenewedBatch(batch) => unpack(batch),
        _ => Vec::new(),
    };
    let next = shared.relayed.next(Instant::now(), renew);
    let next_ms = u32::try_from(next.as_millis()).unwrap_or(0);
    let mut answers = answers.into_iter();
    for (link, call) in back {
        match answers.next() {
            Some(renewed) => reply(link, call, Body::Renewed(Renewed { next_ms, ..renewed })),
            None => send_away(link, call),
        }
    }
}

/// What is the same for several nodes comes once; each is given its own.
fn unpack(batch: RenewedBatch) -> Vec<Renewed> {
    let RenewedBatch {
        renewals,
        views,
        quarantine,
    } = batch;
    let renewals = renewals.into_iter().map(|renewed| {
        let view = usize::try_from(renewed.shared_view).ok();
        let view = view.and_then(|place| place.checked_sub(1));
        let view = view.and_then(|place| views.get(place).cloned());
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

/// What the leader answers, or that none is known.
async fn asked(shared: &Shared, body: Body) -> Body {
    // A node waits for half of a renewal's time in all.
    let within = shared.cfg.renew_interval / 4;
    let answer = ask(shared, &body, within).await;
    answer.unwrap_or_else(|_| Body::NotLeader(NotLeader::default()))
}

/// Has a node renew straight.
fn send_away(link: Link, call: u64) {
    reply(link, call, Body::NotLeader(NotLeader::default()));
}

fn reply(link: Link, call: u64, body: Body) {
    tokio::spawn(async move {
        // A node that has gone needs no answer.
        let _ = link.reply(call, body).await;
    });
}
