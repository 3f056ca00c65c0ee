//! The actor that renews the lease and fetches notes.

use crate::ask::ask;
use crate::shared::Shared;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use std::sync::Arc;
use std::time::Instant;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use wire::proto::frame::Body;
use wire::proto::{FetchNotes, Renew, Renewed};

/// Fetches in a row before the next renewal is due anyway.
const FETCHES: usize = 8;

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
    while renewer.send_message(RenewNow).is_ok() {
        // Either outcome means that the next renewal is due.
        let _ = timeout(shared.cfg.renew, shared.hurry.notified()).await;
    }
}

/// Renews the lease once and fetches the notes that are missing.
pub(crate) async fn renew(shared: &Shared) {
    let sent = Instant::now();
    let Some(renewed) = ask_renewal(shared).await else {
        return;
    };
    shared.take_renewed(&renewed);
    for _ in 0..FETCHES {
        if shared.catalogue().number() >= renewed.note {
            break;
        }
        fetch(shared).await;
    }
    shared.extend_lease(&renewed, sent);
}

async fn ask_renewal(shared: &Shared) -> Option<Renewed> {
    let view = shared.view();
    let request = Body::Renew(Renew {
        node: Some(shared.info()),
        note: shared.catalogue().number(),
        view_term: view.term,
        view_version: view.version,
        quarantine_version: shared.quarantine().version,
    });
    match ask(shared, &request, shared.cfg.renew).await {
        Ok(Body::Renewed(renewed)) => Some(renewed),
        _ => None,
    }
}

async fn fetch(shared: &Shared) {
    let after = shared.catalogue().number();
    let request = Body::FetchNotes(FetchNotes { after });
    let Ok(Body::Notes(notes)) = ask(shared, &request, shared.cfg.renew).await else {
        return;
    };
    if let Err(err) = shared.take_notes(&notes) {
        log::error!("can't take the notes after {after}: {err}");
    }
}
