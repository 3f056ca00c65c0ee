//! Keeps a link up.

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

/// Dials `address` for ever and hands each link to `serve`, which returns when it is
/// done with it. Drop the future to stop.
///
/// Pauses between failed tries double up to the longest one and are jittered, so that
/// the processes that lost one host don't all come back to it in the same instant.
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
    let (shortest, longest) = cfg.redial_backoff;
    let mut pause = shortest;
    loop {
        match dial(address, &me, &key, &cfg).await {
            Ok((link, rx)) => {
                let began = Instant::now();
                serve(link.clone(), rx).await;
                link.close();
                if began.elapsed() > longest {
                    pause = shortest;
                }
            }
            Err(err) => log::debug!("dialling {address}: {err}"),
        }
        sleep(jittered(pause)).await;
        pause = (pause * 2).min(longest);
    }
}

/// Between half and the whole of `pause`.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..=1.0))
}
