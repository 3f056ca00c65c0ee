//! A relay that cuts connections.

use crate::cluster::wait_for;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Passes connections on to an address, until cut.
pub struct Relay {
    pub address: SocketAddr,
    up: watch::Sender<bool>,
    /// Held by each connection that is open.
    open: Arc<()>,
}

impl Relay {
    pub async fn start(host: IpAddr, to: SocketAddr) -> Relay {
        let listener = TcpListener::bind((host, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let up = watch::Sender::new(true);
        let mut state = up.subscribe();
        let open = Arc::new(());
        let held = Arc::clone(&open);
        tokio::spawn(async move {
            loop {
                let (stream, _) = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap(),
                    changed = state.changed() => match changed {
                        Ok(()) => continue,
                        Err(_) => return,
                    },
                };
                if *state.borrow() {
                    tokio::spawn(pass(stream, to, state.clone(), Arc::clone(&held)));
                }
            }
        });
        Relay { address, up, open }
    }

    /// Breaks what is open and refuses what comes.
    pub async fn cut(&self) {
        /// This handle and the accepting task.
        const IDLE: usize = 2;
        self.up.send_replace(false);
        wait_for("connections to break", async || {
            (Arc::strong_count(&self.open) == IDLE).then_some(())
        })
        .await;
    }

    pub fn heal(&self) {
        self.up.send_replace(true);
    }
}

async fn pass(
    mut near: TcpStream,
    to: SocketAddr,
    mut state: watch::Receiver<bool>,
    _open: Arc<()>,
) {
    let Ok(mut far) = TcpStream::connect(to).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => {}
        _ = state.wait_for(|up| !up) => {}
    }
}
