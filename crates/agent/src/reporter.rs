//! Reports load, cache changes and leaving to one entry.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::broadcast::error::RecvError;
use tokio::time::sleep;
use wire::Link;
use wire::proto::Leaving;
use wire::proto::frame::Body;

use crate::Phase;
use crate::context::Context;

/// Interval at which the load is reported even if it hasn't changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends reports until the link is down. A slow link gets only the newest load
/// report once it has room.
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
            () = sleep(REPORT_INTERVAL) => Body::LoadReport(status.borrow().report(Instant::now())),
            events = cache.recv() => match events {
                Ok(events) => Body::CacheEvents(events),
                // The entry detects the gap in the sequence and resets its view of
                // the cache.
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
