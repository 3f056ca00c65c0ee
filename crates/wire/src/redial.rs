//! Re-establishing a link after failures.

use crate::connect::dial;
use crate::identity::Identity;
use crate::key::ClusterKey;
use crate::link::{Incoming, Link};
use crate::settings::LinkSettings;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep};

/// Dials `address` in an endless loop and passes each link to `serve`, which returns when it
/// has finished with the link. Drop the future to stop.
///
/// Dial attempts use exponential backoff with jitter, so that processes that lost their
/// links to the same host don't reconnect at the same time.
pub async fn redial<F, Fut>(
    address: SocketAddr,
    me: Identity,
    key: ClusterKey,
    cfg: LinkSettings,
    mut serve: F,
) where
    F: FnMut(Link, mpsc::Receiver<Incoming>) -> Fut,
    Fut: Future<Output = ()>,
{
    let (min_backoff, max_backoff) = cfg.redial_backoff;
    let mut backoff = min_backoff;
    loop {
        match dial(address, &me, &key, &cfg).await {
            Ok((link, rx)) => {
                let connected_at = Instant::now();
                serve(link.clone(), rx).await;
                link.close();
                if connected_at.elapsed() > max_backoff {
                    backoff = min_backoff;
                }
            }
            Err(err) => log::debug!("can't connect to {address}: {err}"),
        }
        sleep(jittered(backoff)).await;
        backoff = (backoff * 2).min(max_backoff);
    }
}

/// Returns a random duration between half of `backoff` and `backoff`.
fn jittered(backoff: Duration) -> Duration {
    backoff.mul_f64(rand::random_range(0.5..=1.0))
}
