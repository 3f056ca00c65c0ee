//! The actor that renews the lease and fetches notes.

use crate::ask::ask;
use crate::relay_link::Relay;
use crate::shared::Shared;
use member::{RenewalPath, Renewer as Node, renewal_path};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use wire::proto::frame::Body;
use wire::proto::{FetchNotes, NodeInfo, Notes, Renew, Renewed, Role};

/// Fetches in a row before the next renewal is due anyway.
const FETCHES: usize = 8;
/// Links to control that a node behind a relay has not used for so many heartbeats are
/// closed.
const LINGER_BEATS: u32 = 10;

/// Renews the lease in turn; one renewal at a time.
pub(crate) struct Renewer;

/// What the actor keeps.
pub(crate) struct Turn {
    shared: Arc<Shared>,
    clock: JoinHandle<()>,
}

/// Renew the lease now.
pub(crate) struct RenewNow;

impl Actor for Renewer {
    type Msg = RenewNow;
    type State = Turn;
    type Arguments = Arc<Shared>;

    async fn pre_start(
        &self,
        myself: ActorRef<RenewNow>,
        shared: Arc<Shared>,
    ) -> Result<Turn, ActorProcessingErr> {
        let clock = tokio::spawn(keep_time(myself, Arc::clone(&shared)));
        Ok(Turn { shared, clock })
    }

    async fn handle(
        &self,
        _myself: ActorRef<RenewNow>,
        _now: RenewNow,
        turn: &mut Turn,
    ) -> Result<(), ActorProcessingErr> {
        renew(&turn.shared).await;
        turn.shared.renewed.send_modify(|count| *count += 1);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<RenewNow>,
        turn: &mut Turn,
    ) -> Result<(), ActorProcessingErr> {
        turn.clock.abort();
        Ok(())
    }
}

/// Asks for a renewal each time one is due or somebody is in a hurry.
async fn keep_time(renewer: ActorRef<RenewNow>, shared: Arc<Shared>) {
    let mut ended = shared.renewed.subscribe();
    loop {
        ended.mark_unchanged();
        if renewer.send_message(RenewNow).is_err() {
            return;
        }
        if shared.relay_link.is_up() {
            // A relay brings its nodes together, and each counts from its answer. Were
            // an earlier renewal's end taken for this one's, they would come too soon.
            let _ = timeout(shared.cfg.renew, ended.changed()).await;
        }
        // Either outcome means that the next renewal is due.
        let _ = timeout(shared.take_next(), shared.hurry.notified()).await;
    }
}

/// Renews the lease once and fetches the notes that are missing.
pub(crate) async fn renew(shared: &Arc<Shared>) {
    shared.relay_link.turn_to(shared, relay(shared));
    let request = renewal(shared);
    let sequence = request.sequence;
    // The lease counts from when the renewal was sent that the leader answers.
    let mut sent = Instant::now();
    let mut renewed = shared.relay_link.renew(shared, &request).await;
    if let Some(renewed) = &renewed {
        let next = Duration::from_millis(u64::from(renewed.next_ms));
        shared.set_next((!next.is_zero()).then_some(next));
        let linger = shared.cfg.link.heartbeat_interval * LINGER_BEATS;
        shared.controls.release(sent, linger);
    } else {
        sent = Instant::now();
        renewed = ask_renewal(shared, request).await;
    }
    let Some(renewed) = renewed else {
        return;
    };
    shared.take_renewed(&renewed);
    for _ in 0..FETCHES {
        if shared.catalogue().number() >= renewed.note {
            break;
        }
        fetch(shared).await;
    }
    shared.extend_lease(&renewed, sequence, sent);
}

/// The node that this one is to renew through, by the member view that it holds.
fn relay(shared: &Shared) -> Option<Relay> {
    let info = shared.info();
    let view = shared.view();
    let zone = view.nodes.iter().filter(|node| node.zone == info.zone);
    let zone: Vec<Node<'_>> = zone.map(as_node).collect();
    let RenewalPath::Through(name) = renewal_path(as_node(&info), &zone) else {
        return None;
    };
    let named = |node: &&NodeInfo| node.role() == Role::Agent && node.name == name;
    let node = view.nodes.iter().find(named)?;
    Some(Relay {
        name: node.name.clone(),
        incarnation: node.incarnation,
        address: node.link_address.parse().ok()?,
    })
}

fn as_node(info: &NodeInfo) -> Node<'_> {
    Node {
        name: &info.name,
        accepts: info.role() == Role::Agent && !info.leaving && !info.link_address.is_empty(),
    }
}

fn renewal(shared: &Shared) -> Renew {
    let view = shared.view();
    Renew {
        node: Some(shared.info()),
        note: shared.catalogue().number(),
        view_term: view.term,
        view_version: view.version,
        quarantine_version: shared.quarantine().version,
        sequence: shared.next_sequence(),
        uses: shared.uses(Instant::now()),
    }
}

async fn ask_renewal(shared: &Shared, renewal: Renew) -> Option<Renewed> {
    match ask(shared, &Body::Renew(renewal), shared.cfg.renew).await {
        Ok(Body::Renewed(renewed)) => Some(renewed),
        _ => None,
    }
}

async fn fetch(shared: &Shared) {
    let after = shared.catalogue().number();
    let within = shared.cfg.renew;
    let notes = match shared.relay_link.fetch(after, within).await {
        Some(notes) => Some(notes),
        None => ask_notes(shared, after, within).await,
    };
    let Some(notes) = notes else {
        return;
    };
    if let Err(err) = shared.take_notes(&notes) {
        log::error!("can't take the notes after {after}: {err}");
    }
    shared.relayed.keep(after, notes);
}

async fn ask_notes(shared: &Shared, after: u64, within: Duration) -> Option<Notes> {
    let request = Body::FetchNotes(FetchNotes { after });
    match ask(shared, &request, within).await {
        Ok(Body::Notes(notes)) => Some(notes),
        _ => None,
    }
}
