//! The actor that renews the lease and fetches release notes.

use crate::leader_call::call_leader;
use crate::relay_link::Relay;
use crate::shared::Shared;
use member::{RelayCandidate, RenewalPath, renewal_path};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use wire::proto::frame::Body;
use wire::proto::{FetchNotes, NodeInfo, Notes, Renew, RenewalRelay, Renewed, Role, UnchangedNode};

/// Maximum number of fetches of release notes in one renewal.
const MAX_FETCHES: usize = 8;
/// Number of heartbeat intervals after which a node that renews through a relay closes
/// its unused links to control.
const IDLE_LINK_HEARTBEATS: u32 = 10;

/// Renews the lease periodically, one renewal at a time.
pub(crate) struct Renewer;

/// State of the actor.
pub(crate) struct RenewerState {
    shared: Arc<Shared>,
    scheduler: JoinHandle<()>,
}

/// Message: renew the lease now.
pub(crate) struct RenewNow;

impl Actor for Renewer {
    type Msg = RenewNow;
    type State = RenewerState;
    type Arguments = Arc<Shared>;

    async fn pre_start(
        &self,
        myself: ActorRef<RenewNow>,
        shared: Arc<Shared>,
    ) -> Result<RenewerState, ActorProcessingErr> {
        let scheduler = tokio::spawn(schedule_renewals(myself, Arc::clone(&shared)));
        Ok(RenewerState { shared, scheduler })
    }

    async fn handle(
        &self,
        _myself: ActorRef<RenewNow>,
        _now: RenewNow,
        state: &mut RenewerState,
    ) -> Result<(), ActorProcessingErr> {
        renew(&state.shared).await;
        state.shared.renewed.send_modify(|count| *count += 1);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<RenewNow>,
        state: &mut RenewerState,
    ) -> Result<(), ActorProcessingErr> {
        state.scheduler.abort();
        Ok(())
    }
}

/// Requests a renewal each time one is due or an early one is wanted.
async fn schedule_renewals(renewer: ActorRef<RenewNow>, shared: Arc<Shared>) {
    let mut ended = shared.renewed.subscribe();
    loop {
        ended.mark_unchanged();
        if renewer.send_message(RenewNow).is_err() {
            return;
        }
        if shared.relay_link.is_up() {
            // A relay aligns the renewals of its nodes, and each node counts from the
            // answer. If the end of an earlier renewal counted, the next would be too soon.
            let _ = timeout(shared.renew_interval(), ended.changed()).await;
        }
        // The next renewal is due in either case.
        let _ = timeout(shared.take_next_delay(), shared.renew_early.notified()).await;
    }
}

/// Renews the lease once and fetches missing release notes.
pub(crate) async fn renew(shared: &Arc<Shared>) {
    let relay = shared.named_relay().or_else(|| choose_relay(shared));
    shared.relay_link.switch_to(shared, relay);
    let request = renewal_request(shared);
    let sequence = request.sequence;
    // The lease counts from the time at which the answered renewal was sent.
    let mut sent = Instant::now();
    let mut renewed = shared.relay_link.renew(shared, &request).await;
    if let Some(renewed) = &renewed {
        shared.set_named_relay(None, sent);
        let next = Duration::from_millis(u64::from(renewed.next_ms));
        shared.set_next_delay((!next.is_zero()).then_some(next));
        let min_idle = shared.cfg.link.heartbeat_interval * IDLE_LINK_HEARTBEATS;
        shared.control_links.close_if_idle(sent, min_idle);
    } else {
        sent = Instant::now();
        let request = Renew {
            takes_relay: shared.takes_relay(sent),
            ..request
        };
        renewed = renew_directly(shared, request).await;
        if let Some(renewed) = &renewed {
            let relay = renewed.relay.as_ref().and_then(named_relay);
            shared.set_named_relay(relay, sent);
        }
    }
    shared.record_renewal(renewed.is_some());
    let Some(renewed) = renewed else {
        return;
    };
    shared.control_links.update_members(&renewed.replicas);
    let granted_term = (renewed.lease_ms > 0).then_some(renewed.term);
    shared.set_granted_term(granted_term, sequence);
    if granted_term.is_some() {
        shared.set_renew_interval(Duration::from_millis(u64::from(renewed.interval_ms)));
    }
    shared.apply_renewed(&renewed);
    for _ in 0..MAX_FETCHES {
        if shared.catalogue().number() >= renewed.note {
            break;
        }
        fetch_notes(shared).await;
    }
    shared.extend_lease(&renewed, sequence, sent);
}

/// Selects the relay of this node from the member view.
fn choose_relay(shared: &Shared) -> Option<Relay> {
    let info = shared.info();
    let view = shared.view();
    let zone = view.nodes.iter().filter(|node| node.zone == info.zone);
    let zone: Vec<RelayCandidate<'_>> = zone.map(as_candidate).collect();
    let RenewalPath::Through(name) = renewal_path(as_candidate(&info), &zone) else {
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

fn named_relay(relay: &RenewalRelay) -> Option<Relay> {
    Some(Relay {
        name: relay.name.clone(),
        incarnation: relay.incarnation,
        address: relay.link_address.parse().ok()?,
    })
}

fn as_candidate(info: &NodeInfo) -> RelayCandidate<'_> {
    RelayCandidate {
        name: &info.name,
        accepts_links: info.role() == Role::Agent && !info.leaving && !info.link_address.is_empty(),
    }
}

fn renewal_request(shared: &Shared) -> Renew {
    let view = shared.view();
    // Numbered before the state is read: a state that changes in between is sent again.
    let sequence = shared.next_sequence();
    let (info, granted_term) = (shared.info(), shared.granted_term());
    let unchanged = granted_term.map(|term| UnchangedNode {
        role: info.role,
        name: info.name.clone(),
        incarnation: info.incarnation,
        term,
    });
    Renew {
        node: unchanged.is_none().then_some(info),
        unchanged,
        note: shared.catalogue().number(),
        view_term: view.term,
        view_version: view.version,
        view_nodes: u32::try_from(view.nodes.len()).unwrap_or(u32::MAX),
        quarantine_version: shared.quarantine().version,
        sequence,
        uses: shared.account_usage(Instant::now()),
        takes_relay: false,
        replicas_digest: shared.control_links.members_digest(),
    }
}

async fn renew_directly(shared: &Shared, renewal: Renew) -> Option<Renewed> {
    match call_leader(shared, &Body::Renew(renewal), shared.renewal_timeout()).await {
        Ok(Body::Renewed(renewed)) => Some(renewed),
        _ => None,
    }
}

async fn fetch_notes(shared: &Shared) {
    let after = shared.catalogue().number();
    let within = shared.renew_interval();
    let notes = match shared.relay_link.fetch(after, within).await {
        Some(notes) => Some(notes),
        None => fetch_notes_directly(shared, after, within).await,
    };
    let Some(notes) = notes else {
        return;
    };
    if let Err(err) = shared.apply_notes(&notes) {
        log::error!("cannot apply the release notes after number {after}: {err}");
    }
    shared.renewal_relay.cache_notes(after, notes);
}

async fn fetch_notes_directly(shared: &Shared, after: u64, within: Duration) -> Option<Notes> {
    let request = Body::FetchNotes(FetchNotes { after });
    match call_leader(shared, &request, within).await {
        Ok(Body::Notes(notes)) => Some(notes),
        _ => None,
    }
}
