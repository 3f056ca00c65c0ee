//! Establishing links by dialling or accepting.

use crate::codec::FrameCodec;
use crate::error::{Error, Result};
use crate::handshake::{Connection, Side, authenticate};
use crate::identity::Identity;
use crate::key::ClusterKey;
use crate::link::{Incoming, Link};
use crate::proto::Frame;
use crate::settings::LinkSettings;
use socket2::SockRef;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{Framed, FramedParts};

/// Number of unsent bytes from which on the kernel takes no more from a link.
const MAX_UNSENT_BYTES: u32 = 128 << 10;

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
        let (conn, peer) = handshake(stream, Side::Dialer, me, key, cfg).await?;
        Ok(Link::spawn(conn, peer, cfg))
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
    accept_on(stream, me, key, cfg, |_| Handle::current()).await
}

/// Like [`accept`], for links that are served by different runtimes: `runtime_for`
/// selects one by the identity of the peer.
///
/// # Errors
///
/// See [`accept`].
pub async fn accept_on(
    stream: TcpStream,
    me: &Identity,
    key: &ClusterKey,
    cfg: &LinkSettings,
    runtime_for: impl FnOnce(&Identity) -> Handle,
) -> Result<(Link, mpsc::Receiver<Incoming>)> {
    let accepting = handshake(stream, Side::Acceptor, me, key, cfg);
    let accepted = timeout(cfg.dial_timeout, accepting).await;
    let (conn, peer) = accepted.map_err(|_| Error::TimedOut)??;
    let runtime = runtime_for(&peer);
    if runtime.id() == Handle::current().id() {
        return Ok(Link::spawn(conn, peer, cfg));
    }
    spawn_on(&runtime, conn, peer, cfg)
}

/// Moves a connection to another runtime.
fn spawn_on(
    runtime: &Handle,
    conn: Connection,
    peer: Identity,
    cfg: &LinkSettings,
) -> Result<(Link, mpsc::Receiver<Incoming>)> {
    let parts = conn.into_parts();
    let stream = parts.io.into_std()?;
    let _entered = runtime.enter();
    let stream = TcpStream::from_std(stream)?;
    let mut moved = FramedParts::new::<Frame>(stream, parts.codec);
    moved.read_buf = parts.read_buf;
    Ok(Link::spawn(Framed::from_parts(moved), peer, cfg))
}

async fn handshake(
    stream: TcpStream,
    side: Side,
    me: &Identity,
    key: &ClusterKey,
    cfg: &LinkSettings,
) -> Result<(Connection, Identity)> {
    stream.set_nodelay(true)?;
    // A middlebox may lose its connection state. Unacknowledged bytes must then fail the
    // connection even if this side only writes.
    let socket = SockRef::from(&stream);
    socket.set_tcp_user_timeout(Some(cfg.silence_timeout()))?;
    // Otherwise the kernel takes megabytes at once, which hides whether the peer reads them
    // and delays all that follows.
    if let Err(e) = socket.set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        log::debug!("cannot limit the unsent bytes of a link: {e}");
    }
    let mut conn = Framed::new(stream, FrameCodec::new(cfg.max_frame_bytes));
    let peer = authenticate(&mut conn, side, me, key).await?;
    Ok((conn, peer))
}
