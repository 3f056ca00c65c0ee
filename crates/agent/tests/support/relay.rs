//! Stands before a target: takes connections also while there is none.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    /// While set, connections that are made don't show their end later.
    deaf: Arc<AtomicBool>,
}

impl Relay {
    pub async fn before(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let relay = Relay {
            address: listener.local_addr().unwrap(),
            deaf: Arc::default(),
        };
        let deaf = Arc::clone(&relay.deaf);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(carry(near, target, deaf.load(Ordering::SeqCst)));
            }
        });
        relay
    }

    pub fn set_deaf(&self, deaf: bool) {
        self.deaf.store(deaf, Ordering::SeqCst);
    }
}

async fn carry(mut near: TcpStream, target: SocketAddr, deaf: bool) {
    let mut far = loop {
        match TcpStream::connect(target).await {
            Ok(far) => break far,
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    };
    let (mut there, mut back) = (vec![0; 4096], vec![0; 4096]);
    loop {
        tokio::select! {
            read = near.read(&mut there) => match read {
                Ok(n @ 1..) if far.write_all(&there[..n]).await.is_ok() => {}
                _ => return,
            },
            read = far.read(&mut back) => match read {
                Ok(n @ 1..) if near.write_all(&back[..n]).await.is_ok() => {}
                _ if deaf => std::future::pending().await,
                _ => return,
            },
        }
    }
}
