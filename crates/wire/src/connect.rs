//! Establishing links by dialling or accepting.

use crate::codec::FrameCodec;
use crate::error::{Error, Result};
use crate::handshake::{Side, authenticate};
use crate::identity::Identity;
use crate::key::ClusterKey;
use crate::link::{Incoming, Link};
use crate::settings::LinkSettings;
use socket2::SockRef;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Connects to `address` and authenticates both sides with `key`.
///
/// The receiver yields the requests and one-way messages of the peer, in order.
///
/// # Errors
///
/// Returns an error if the connection or the handshake fails or times out, or if the
/// cluster key or protocol version differs.
pub async fn dial(
    address: SocketAddr,
    me: &Identity,
    key: &ClusterKey,
    cfg: &LinkSettings,
) -> Result<(Link, mpsc::Receiver<Incoming>)> {
    let dialling = async {
        let connected = timeout(cfg.connect_timeout, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| Error::TimedOut)??;
        establish(stream, Side::Dialer, me, key, cfg).await
    };
    timeout(cfg.dial_timeout, dialling)
        .await
        .map_err(|_| Error::TimedOut)?
}

/// Accepts a connection made by [`dial`] and authenticates both sides with `key`.
///
/// # Errors
///
/// Returns [`Error::WrongKey`] if the peer does not hold `key`, and other errors if the
/// handshake fails or times out.
pub async fn accept(
    stream: TcpStream,
    me: &Identity,
    key: &ClusterKey,
    cfg: &LinkSettings,
) -> Result<(Link, mpsc::Receiver<Incoming>)> {
    let accepting = establish(stream, Side::Acceptor, me, key, cfg);
    timeout(cfg.dial_timeout, accepting)
        .await
        .map_err(|_| Error::TimedOut)?
}

async fn establish(
    stream: TcpStream,
    side: Side,
    me: &Identity,
    key: &ClusterKey,
    cfg: &LinkSettings,
) -> Result<(Link, mpsc::Receiver<Incoming>)> {
    stream.set_nodelay(true)?;
    // A middlebox may lose its connection state. Unacknowledged bytes must then fail the
    // connection even if this side only writes.
    SockRef::from(&stream).set_tcp_user_timeout(Some(cfg.silence_timeout()))?;
    let mut conn = Framed::new(stream, FrameCodec::new(cfg.max_frame_bytes));
    let peer = authenticate(&mut conn, side, me, key).await?;
    Ok(Link::spawn(conn, peer, cfg))
}
