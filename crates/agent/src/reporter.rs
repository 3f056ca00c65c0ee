//! Tells one entry of load, cache and leaving.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::broadcast::error::RecvError;
use tokio::time::sleep;
use wire::Link;
use wire::proto::Leaving;
use wire::proto::frame::Body;

use crate::Phase;
use crate::context::Context;

/// A report is repeated after this time, though nothing changed.
const REPEAT: Duration = Duration::from_secs(1);

/// Sends reports until the link is down. A link that is slow gets the newest
/// one once it has room, and none in between.
pub(crate) async fn report(cx: Arc<Context>, link: Link) {
    let mut status = cx.status.subscribe();
    let mut phase = cx.phase.subscribe();
    let mut cache = cx.cache.subscribe();
    phase.mark_changed();
    status.mark_changed();
    loop {
        let body = tokio::select! {
            changed = phase.changed() => {
                if changed.is_err() {
                    return;
                }
                if *phase.borrow_and_update() == Phase::Serving {
                    continue;
                }
                Body::Leaving(Leaving { target: cx.cfg.name.clone() })
            }
            changed = status.changed() => {
                if changed.is_err() {
                    return;
                }
                Body::LoadReport(status.borrow_and_update().report(Instant::now()))
            }
            () = sleep(REPEAT) => Body::LoadReport(status.borrow().report(Instant::now())),
            events = cache.recv() => match events {
                Ok(events) => Body::CacheEvents(events),
                // The entry sees the gap in the sequence and forgets.
                Err(RecvError::Lagged(_)) => continue,
                Err(RecvError::Closed) => return,
            },
            () = link.closed() => return,
        };
        if link.send(body).await.is_err() {
            return;
        }
    }
}
