//! A TCP proxy that accepts connections even while its target is down.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

#[derive(Clone)]
pub struct TcpProxy {
    pub address: SocketAddr,
    /// Connections accepted while this is set stay open after the target has
    /// closed them.
    hold_open: Arc<AtomicBool>,
}

impl TcpProxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = TcpProxy {
            address: listener.local_addr().unwrap(),
            hold_open: Arc::default(),
        };
        let hold_open = Arc::clone(&proxy.hold_open);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward(client, target, hold_open.load(Ordering::SeqCst)));
            }
        });
        proxy
    }

    pub fn set_hold_open(&self, hold_open: bool) {
        self.hold_open.store(hold_open, Ordering::SeqCst);
    }
}

async fn forward(mut client: TcpStream, target: SocketAddr, hold_open: bool) {
    let mut server = loop {
        match TcpStream::connect(target).await {
            Ok(server) => break server,
            Err(_) => sleep(Duration::from_millis(5)).await,
        }
    };
    let (mut request, mut response) = (vec![0; 4096], vec![0; 4096]);
    loop {
        tokio::select! {
            read = client.read(&mut request) => match read {
                Ok(n @ 1..) if server.write_all(&request[..n]).await.is_ok() => {}
                _ => return,
            },
            read = server.read(&mut response) => match read {
                Ok(n @ 1..) if client.write_all(&response[..n]).await.is_ok() => {}
                _ if hold_open => std::future::pending().await,
                _ => return,
            },
        }
    }
}
