//! Stands between a node and control, and can be cut.

use std::net::{Ipv4Addr, SocketAddr};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

pub struct Proxy {
    pub address: SocketAddr,
    cut: CancellationToken,
}

impl Proxy {
    pub async fn before(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let cut = CancellationToken::new();
        let ended = cut.clone();
        tokio::spawn(async move {
            while let Some(Ok((mut near, _))) = ended.run_until_cancelled(listener.accept()).await {
                let ended = ended.clone();
                tokio::spawn(async move {
                    let Ok(mut far) = TcpStream::connect(target).await else {
                        return;
                    };
                    let passed = tokio::io::copy_bidirectional(&mut near, &mut far);
                    ended.run_until_cancelled(passed).await;
                });
            }
        });
        Proxy { address, cut }
    }

    /// Ends all connections and takes no new ones.
    pub fn cut(&self) {
        self.cut.cancel();
    }
}
