//! Forwarding of other nodes' renewals before the engine's rank is known.

use std::future::Future;
use std::time::Duration;

use node::Follower;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use wire::{ClusterKey, Identity, LinkSettings};

use crate::links::is_relayed;

/// Pause after a link could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Forwards the renewals of other nodes while this agent still waits to serve its rank.
/// Nodes that start together need a relay before any of them has a rank to serve.
#[derive(Clone)]
pub(crate) struct EarlyRelay {
    pub me: Identity,
    pub key: ClusterKey,
    pub link: LinkSettings,
    pub follower: Follower,
}

impl EarlyRelay {
    /// Accepts links until `work` is done, and then closes them: their peers connect again
    /// to the agent of the rank.
    pub async fn serve_until<T>(&self, listener: &TcpListener, work: impl Future<Output = T>) -> T {
        let stop = CancellationToken::new();
        let _closes_links = stop.clone().drop_guard();
        tokio::select! {
            done = work => done,
            never = self.accept_links(listener, &stop) => match never {},
        }
    }

    async fn accept_links(
        &self,
        listener: &TcpListener,
        stop: &CancellationToken,
    ) -> std::convert::Infallible {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(self.clone().serve(stream, stop.clone()));
                }
                Err(e) => {
                    log::warn!("failed to accept a link: {e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    async fn serve(self, stream: TcpStream, stop: CancellationToken) {
        let accepted = wire::accept(stream, &self.me, &self.key, &self.link).await;
        let (link, mut rx) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => return log::warn!("refused a link: {e}"),
        };
        while let Some(Some(incoming)) = stop.run_until_cancelled(rx.recv()).await {
            if is_relayed(&incoming.body) {
                self.follower.relay(incoming);
            }
        }
        link.close();
    }
}
