//! A relay between two ends that can lose track of its connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Passes bytes both ways. Connections that it has forgotten stay open and
/// swallow all bytes, while new ones work.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    forgotten: Arc<Mutex<CancellationToken>>,
    cut: CancellationToken,
}

impl Relay {
    pub async fn start() -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay {
            address: listener.local_addr().unwrap(),
            target: Arc::default(),
            forgotten: Arc::default(),
            cut: CancellationToken::new(),
        };
        let accepting = relay.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if accepting.cut.is_cancelled() {
                    continue;
                }
                let target = *accepting.target.lock().unwrap();
                let Some(target) = target else { continue };
                let Ok(far) = TcpStream::connect(target).await else {
                    continue;
                };
                let forgotten = accepting.forgotten.lock().unwrap().clone();
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                tokio::spawn(pass(near_read, far_write, forgotten.clone()));
                tokio::spawn(pass(far_read, near_write, forgotten));
            }
        });
        relay
    }

    pub fn lead_to(&self, target: SocketAddr) {
        *self.target.lock().unwrap() = Some(target);
    }

    /// Lets nothing through any more.
    pub fn cut(&self) {
        self.cut.cancel();
        self.forget();
    }

    /// Swallows all bytes of the present connections from now on.
    pub fn forget(&self) {
        let mut forgotten = self.forgotten.lock().unwrap();
        forgotten.cancel();
        *forgotten = CancellationToken::new();
    }
}

async fn pass(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    forgotten: CancellationToken,
) {
    let mut buf = vec![0; 16 << 10];
    while let Ok(count) = from.read(&mut buf).await {
        if count == 0 {
            break;
        }
        if !forgotten.is_cancelled() && to.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
    if forgotten.is_cancelled() {
        // The other end never hears of it.
        std::future::pending::<()>().await;
    }
}
