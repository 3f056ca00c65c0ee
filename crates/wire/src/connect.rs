//! Makes links, by dialling or by accepting.

use crate::codec::FrameCodec;
use crate::error::{Error, Result};
use crate::handshake::{Side, shake};
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

/// Dials `address` and proves that both sides hold `key`.
///
/// The receiver yields what the other side sends of its own accord, in order.
///
/// # Errors
///
/// Fails when nobody answers in time, or the key or protocol version differ.
pub async fn dial(
    address: SocketAddr,
    me: &Identity,
    key: &ClusterKey,
    cfg: &LinkSettings,
) -> Result<(Link, mpsc::Receiver<Incoming>)> {
    let dialled = async {
        let connected = timeout(cfg.connect_timeout, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| Error::TimedOut)??;
        shake_on(stream, Side::Dialer, me, key, cfg).await
    };
    timeout(cfg.dial_timeout, dialled)
        .await
        .map_err(|_| Error::TimedOut)?
}

/// Takes in a connection that `dial` made from the other side.
///
/// # Errors
///
/// Fails with [`Error::WrongKey`] when the other side does not hold `key`, and when
/// the handshake breaks off or takes too long.
pub async fn accept(
    stream: TcpStream,
    me: &Identity,
    key: &ClusterKey,
    cfg: &LinkSettings,
) -> Result<(Link, mpsc::Receiver<Incoming>)> {
    let accepted = shake_on(stream, Side::Acceptor, me, key, cfg);
    timeout(cfg.dial_timeout, accepted)
        .await
        .map_err(|_| Error::TimedOut)?
}

async fn shake_on(
    stream: TcpStream,
    side: Side,
    me: &Identity,
    key: &ClusterKey,
    cfg: &LinkSettings,
) -> Result<(Link, mpsc::Receiver<Incoming>)> {
    stream.set_nodelay(true)?;
    // Something between the two ends may lose track of the connection: bytes that
    // are never acknowledged must fail the connection even while we only write.
    SockRef::from(&stream).set_tcp_user_timeout(Some(cfg.silence_timeout()))?;
    let mut conn = Framed::new(stream, FrameCodec::new(cfg.max_frame));
    let peer = shake(&mut conn, side, me, key).await?;
    Ok(Link::spawn(conn, peer, cfg))
}
