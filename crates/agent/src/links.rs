//! Accepts and serves links from other nodes.

use std::sync::Arc;
use std::time::Duration;

use ledger::Attempt;
use ractor::{ActorRef, call};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use wire::proto::frame::Body;
use wire::proto::{Attach, Bar, BarReply, Cancel, Start};
use wire::{ClusterKey, Identity, Incoming, Link, LinkSettings, Role};

use crate::attempt_manager::{AttemptMsg, Origin};
use crate::context::Context;
use crate::map::MapHandle;
use crate::reporter::report;
use crate::sender::send_answer;
use crate::start_handler::PendingSend;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of start and attach messages that await the manager's reply.
pub(crate) const MAX_PENDING: usize = 1024;

/// Accepts links from entries and other agents.
pub(crate) struct LinkServer {
    pub cx: Arc<Context>,
    pub manager: ActorRef<AttemptMsg>,
    pub maps: MapHandle,
    pub me: Identity,
    pub key: ClusterKey,
    pub cfg: LinkSettings,
    /// Bounds the start and attach messages that await the manager's reply.
    pub pending: Arc<Semaphore>,
}

impl LinkServer {
    /// Accepts links until the agent stops.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(self.cx.cfg.limits.links));
        let stop = self.cx.stop.clone();
        while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("failed to accept a link: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                log::warn!(
                    "refused a link: limit of {} links reached",
                    self.cx.cfg.limits.links
                );
                self.cx.metrics.link_refused();
                continue;
            };
            let links = Arc::clone(&self);
            tokio::spawn(async move {
                links.serve(stream).await;
                drop(permit);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let cancel = self.cx.link_cancel.borrow().clone();
        let (link, rx) = match wire::accept(stream, &self.me, &self.key, &self.cfg).await {
            Ok(accepted) => accepted,
            Err(e) => {
                log::warn!("refused a link: {e}");
                self.cx.metrics.link_refused();
                return;
            }
        };
        self.cx.metrics.links.inc();
        match link.peer().role {
            Role::Entry => self.serve_entry(&link, rx, &cancel).await,
            Role::Agent => self.serve_agent(rx, &cancel).await,
            Role::Control | Role::Unspecified => {}
        }
        link.close();
        self.cx.metrics.links.dec();
    }

    async fn serve_entry(
        &self,
        link: &Link,
        mut rx: mpsc::Receiver<Incoming>,
        cancel: &CancellationToken,
    ) {
        let reporter = tokio::spawn(report(Arc::clone(&self.cx), link.clone()));
        while let Some(Some(incoming)) = cancel.run_until_cancelled(rx.recv()).await {
            self.handle(incoming, cancel).await;
        }
        reporter.abort();
    }

    async fn serve_agent(&self, mut rx: mpsc::Receiver<Incoming>, cancel: &CancellationToken) {
        while let Some(Some(incoming)) = cancel.run_until_cancelled(rx.recv()).await {
            if is_relayed(&incoming.body) {
                self.cx.follower.relay(incoming);
            } else {
                self.maps.deliver(incoming);
            }
        }
    }

    /// Handles a message from an entry; unexpected messages are ignored. Send
    /// errors are ignored too: they mean that the link is down, which the
    /// receiving side notices.
    async fn handle(&self, incoming: Incoming, cancel: &CancellationToken) {
        if is_relayed(&incoming.body) {
            self.cx.follower.relay(incoming);
            return;
        }
        let Incoming { call, body, link } = incoming;
        match body {
            Body::Start(start) => self.start(call, start, link, cancel).await,
            Body::Attach(attach) => self.attach(call, attach, link).await,
            Body::Bar(bar) => self.bar(call, bar, &link).await,
            Body::Cancel(Cancel { attempt }) => {
                if let Some(attempt) = Attempt::from_slice(&attempt) {
                    let _ = self.manager.send_message(AttemptMsg::Cancel(attempt));
                }
            }
            Body::Progress(progress) => {
                let _ = self.manager.send_message(AttemptMsg::Progress(progress));
            }
            _ => log::debug!("ignored an unexpected message from {}", link.peer().name),
        }
    }

    /// Hands a start to the manager; a separate task sends the manager's reply and
    /// then the answer. Waiting for the manager here would limit the link's start
    /// rate to the alternating wake-ups of two tasks.
    async fn start(&self, call: u64, start: Start, link: Link, cancel: &CancellationToken) {
        let Some(permit) = self.acquire_permit(&link).await else {
            return;
        };
        let origin = Origin {
            link: link.clone(),
            link_cancel: cancel.clone(),
        };
        let (reply, outcome) = oneshot::channel();
        let msg = AttemptMsg::Start(Box::new(start), origin, reply.into());
        if self.manager.send_message(msg).is_err() {
            return;
        }
        tokio::spawn(async move {
            let Ok(outcome) = outcome.await else { return };
            let _ = link.reply(call, Body::StartReply(outcome.reply)).await;
            drop(permit);
            send_pending(outcome.sending, link).await;
        });
    }

    async fn attach(&self, call: u64, attach: Attach, link: Link) {
        let Some(permit) = self.acquire_permit(&link).await else {
            return;
        };
        let (reply, outcome) = oneshot::channel();
        let msg = AttemptMsg::Attach(attach, link.clone(), reply.into());
        if self.manager.send_message(msg).is_err() {
            return;
        }
        tokio::spawn(async move {
            let Ok(outcome) = outcome.await else { return };
            let _ = link.reply(call, Body::AttachReply(outcome.reply)).await;
            drop(permit);
            send_pending(outcome.sending, link).await;
        });
    }

    /// Waits for a permit to send the manager another message. Without this bound
    /// a flood of starts would fill the manager's mailbox.
    async fn acquire_permit(&self, link: &Link) -> Option<OwnedSemaphorePermit> {
        let pending = Arc::clone(&self.pending);
        tokio::select! {
            permit = pending.acquire_owned() => permit.ok(),
            () = link.closed() => None,
        }
    }

    async fn bar(&self, call: u64, bar: Bar, link: &Link) {
        let Some(attempt) = Attempt::from_slice(&bar.attempt) else {
            return;
        };
        let Ok(state) = call!(self.manager, |reply| AttemptMsg::Bar(attempt, reply)) else {
            return;
        };
        let reply = BarReply {
            attempt: bar.attempt,
            state: state.into(),
            incarnation: self.cx.incarnation,
        };
        let _ = link.reply(call, Body::BarReply(reply)).await;
    }
}

/// Whether a message is relayed to control on behalf of another node.
pub(crate) fn is_relayed(body: &Body) -> bool {
    matches!(body, Body::Renew(_) | Body::FetchNotes(_) | Body::Query(_))
}

async fn send_pending(pending: Option<PendingSend>, link: Link) {
    if let Some(pending) = pending {
        let PendingSend {
            answer,
            cursor,
            replaced,
        } = pending;
        send_answer(answer, link, cursor, replaced).await;
    }
}
