//! Links that others dial.

use std::sync::Arc;
use std::time::Duration;

use ledger::Attempt;
use ractor::{ActorRef, call};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
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

/// What accepting a link needs.
pub(crate) struct Links {
    pub cx: Arc<Context>,
    pub desk: ActorRef<DeskMsg>,
    pub maps: Maps,
    pub me: Identity,
    pub key: ClusterKey,
    pub cfg: LinkSettings,
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

    async fn start(&self, call: u64, start: Start, link: Link, cut: &CancellationToken) {
        let from = Origin {
            link: link.clone(),
            cut: cut.clone(),
        };
        let start = Box::new(start);
        let Ok(taken) = call!(self.desk, |reply| DeskMsg::Start(start, from, reply)) else {
            return;
        };
        let _ = link.reply(call, Body::StartReply(taken.reply)).await;
        send(taken.sending, link);
    }

    async fn attach(&self, call: u64, attach: Attach, link: Link) {
        let to_link = link.clone();
        let Ok(attached) = call!(self.desk, |reply| DeskMsg::Attach(attach, to_link, reply)) else {
            return;
        };
        let _ = link.reply(call, Body::AttachReply(attached.reply)).await;
        send(attached.sending, link);
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
fn is_relayed(body: &Body) -> bool {
    matches!(body, Body::Renew(_) | Body::FetchNotes(_))
}

fn send(sending: Option<Sending>, link: Link) {
    if let Some(sending) = sending {
        let Sending {
            answer,
            cursor,
            replaced,
        } = sending;
        tokio::spawn(send_answer(answer, link, cursor, replaced));
    }
}
