//! Links that others dial.

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

use crate::context::Context;
use crate::desk::{DeskMsg, Origin};
use crate::map::Maps;
use crate::reporter::report;
use crate::sender::send_answer;
use crate::take::Sending;

/// Before the next connection is accepted after that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Starts and attachments that wait for the desk's reply at most.
pub(crate) const MAX_ASKED: usize = 1024;

/// What accepting a link needs.
pub(crate) struct Links {
    pub cx: Arc<Context>,
    pub desk: ActorRef<DeskMsg>,
    pub maps: Maps,
    pub me: Identity,
    pub key: ClusterKey,
    pub cfg: LinkSettings,
    /// Places for starts and attachments that wait for the desk.
    pub asked: Arc<Semaphore>,
}

impl Links {
    /// Accepts links until the agent ends.
    pub async fn accept(self: Arc<Self>, listener: TcpListener) {
        let places = Arc::new(Semaphore::new(self.cx.cfg.limits.links));
        let stop = self.cx.stop.clone();
        while let Some(accepted) = stop.run_until_cancelled(listener.accept()).await {
            let stream = match accepted {
                Ok((stream, _)) => stream,
                Err(e) => {
                    log::warn!("can't accept a link: {e}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
                log::warn!("turned away a link: too many");
                self.cx.metrics.link_refused();
                continue;
            };
            let links = Arc::clone(&self);
            tokio::spawn(async move {
                links.serve(stream).await;
                drop(place);
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let cut = self.cx.cut.borrow().clone();
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
            Role::Entry => self.serve_entry(&link, rx, &cut).await,
            Role::Agent => self.serve_agent(rx, &cut).await,
            Role::Control | Role::Unspecified => {}
        }
        link.close();
        self.cx.metrics.links.dec();
    }

    async fn serve_entry(
        &self,
        link: &Link,
        mut rx: mpsc::Receiver<Incoming>,
        cut: &CancellationToken,
    ) {
        let reporter = tokio::spawn(report(Arc::clone(&self.cx), link.clone()));
        while let Some(Some(incoming)) = cut.run_until_cancelled(rx.recv()).await {
            self.take(incoming, cut).await;
        }
        reporter.abort();
    }

    async fn serve_agent(&self, mut rx: mpsc::Receiver<Incoming>, cut: &CancellationToken) {
        while let Some(Some(incoming)) = cut.run_until_cancelled(rx.recv()).await {
            if is_relayed(&incoming.body) {
                self.cx.follower.relay(incoming);
            } else {
                self.maps.take(incoming);
            }
        }
    }

    /// Messages that an entry has no business sending are passed over. A
    /// reply that can't be sent means that the link is down, which the
    /// reading side notices.
    async fn take(&self, incoming: Incoming, cut: &CancellationToken) {
        if is_relayed(&incoming.body) {
            self.cx.follower.relay(incoming);
            return;
        }
        let Incoming { call, body, link } = incoming;
        match body {
            Body::Start(start) => self.start(call, start, link, cut).await,
            Body::Attach(attach) => self.attach(call, attach, link).await,
            Body::Bar(bar) => self.bar(call, bar, &link).await,
            Body::Cancel(Cancel { attempt }) => {
                if let Some(attempt) = Attempt::from_slice(&attempt) {
                    let _ = self.desk.send_message(DeskMsg::Cancel(attempt));
                }
            }
            Body::Progress(progress) => {
                let _ = self.desk.send_message(DeskMsg::Progress(progress));
            }
            _ => log::debug!("passed over a message of {}", link.peer().name),
        }
    }

    /// Hands a start to the desk; a task of its own passes the desk's word on,
    /// and then the answer. Waiting here for the desk would let the link carry
    /// no more starts than there are wake-ups of two tasks in turn.
    async fn start(&self, call: u64, start: Start, link: Link, cut: &CancellationToken) {
        let Some(place) = self.place(&link).await else {
            return;
        };
        let from = Origin {
            link: link.clone(),
            cut: cut.clone(),
        };
        let (reply, taken) = oneshot::channel();
        let msg = DeskMsg::Start(Box::new(start), from, reply.into());
        if self.desk.send_message(msg).is_err() {
            return;
        }
        tokio::spawn(async move {
            let Ok(taken) = taken.await else { return };
            let _ = link.reply(call, Body::StartReply(taken.reply)).await;
            drop(place);
            send(taken.sending, link).await;
        });
    }

    async fn attach(&self, call: u64, attach: Attach, link: Link) {
        let Some(place) = self.place(&link).await else {
            return;
        };
        let (reply, attached) = oneshot::channel();
        let msg = DeskMsg::Attach(attach, link.clone(), reply.into());
        if self.desk.send_message(msg).is_err() {
            return;
        }
        tokio::spawn(async move {
            let Ok(attached) = attached.await else { return };
            let _ = link.reply(call, Body::AttachReply(attached.reply)).await;
            drop(place);
            send(attached.sending, link).await;
        });
    }

    /// A place among the messages that the desk has not replied to. Without a
    /// bound a flood of starts would pile up before the desk.
    async fn place(&self, link: &Link) -> Option<OwnedSemaphorePermit> {
        let asked = Arc::clone(&self.asked);
        tokio::select! {
            place = asked.acquire_owned() => place.ok(),
            () = link.closed() => None,
        }
    }

    async fn bar(&self, call: u64, bar: Bar, link: &Link) {
        let Some(attempt) = Attempt::from_slice(&bar.attempt) else {
            return;
        };
        let Ok(state) = call!(self.desk, |reply| DeskMsg::Bar(attempt, reply)) else {
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

/// Whether another node wants it passed on to control.
pub(crate) fn is_relayed(body: &Body) -> bool {
    matches!(body, Body::Renew(_) | Body::FetchNotes(_))
}

async fn send(sending: Option<Sending>, link: Link) {
    if let Some(sending) = sending {
        let Sending {
            answer,
            cursor,
            replaced,
        } = sending;
        send_answer(answer, link, cursor, replaced).await;
    }
}
