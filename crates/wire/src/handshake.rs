//! Mutual authentication with the cluster key, before any other message is exchanged.

use crate::codec::FrameCodec;
use crate::error::{Error, Result};
use crate::identity::Identity;
use crate::key::ClusterKey;
use crate::proto::frame::Body;
use crate::proto::{Frame, Hello, Proof, Refused};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Version of the link protocol.
const PROTOCOL_VERSION: u32 = 1;
/// Size of the nonce in a hello, in bytes.
const NONCE_BYTES: usize = 16;

/// The side of a connection. It is part of each proof, so that a proof reflected to its
/// sender is not accepted as the peer's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Side {
    Dialer,
    Acceptor,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Side::Dialer => b"dialer",
            Side::Acceptor => b"acceptor",
        }
    }

    fn other(self) -> Side {
        match self {
            Side::Dialer => Side::Acceptor,
            Side::Acceptor => Side::Dialer,
        }
    }
}

pub(crate) type Connection = Framed<TcpStream, FrameCodec>;

/// Exchanges hellos and proofs; returns the identity of the peer.
pub(crate) async fn authenticate(
    conn: &mut Connection,
    side: Side,
    me: &Identity,
    key: &ClusterKey,
) -> Result<Identity> {
    let own_hello = hello(me);
    send(conn, Body::Hello(own_hello.clone())).await?;
    let peer_hello = read_hello(conn).await?;
    let peer = identity(&peer_hello)?;
    let (first, second) = match side {
        Side::Dialer => (&own_hello, &peer_hello),
        Side::Acceptor => (&peer_hello, &own_hello),
    };
    let first = first.encode_to_vec();
    let second = second.encode_to_vec();
    let proof = key.sign(&[side.label(), &first, &second])?;
    // The acceptor sends its proof only after it has verified the dialer's. A client without
    // the key therefore obtains nothing signed with it by connecting.
    if side == Side::Dialer {
        send(conn, proof_body(proof)).await?;
        let peer_proof = read_proof(conn).await?;
        key.verify(&[side.other().label(), &first, &second], &peer_proof)?;
    } else {
        let peer_proof = read_proof(conn).await?;
        let verified = key.verify(&[side.other().label(), &first, &second], &peer_proof);
        if let Err(err) = verified {
            refuse(conn, "wrong cluster key").await;
            return Err(err);
        }
        send(conn, proof_body(proof)).await?;
    }
    Ok(peer)
}

fn hello(me: &Identity) -> Hello {
    let nonce: [u8; NONCE_BYTES] = rand::random();
    Hello {
        role: me.role.into(),
        name: me.name.clone(),
        incarnation: me.incarnation,
        nonce: Bytes::copy_from_slice(&nonce),
        version: PROTOCOL_VERSION,
    }
}

fn identity(hello: &Hello) -> Result<Identity> {
    if hello.version != PROTOCOL_VERSION {
        let reason = format!(
            "protocol version {} instead of {PROTOCOL_VERSION}",
            hello.version
        );
        return Err(Error::Protocol(reason));
    }
    Ok(Identity::new(
        hello.role(),
        hello.name.clone(),
        hello.incarnation,
    ))
}

fn proof_body(mac: Vec<u8>) -> Body {
    Body::Proof(Proof {
        mac: Bytes::from(mac),
    })
}

async fn refuse(conn: &mut Connection, reason: &str) {
    let refused = Refused {
        reason: reason.to_owned(),
    };
    // The connection is closed in any case; sending the reason is best-effort.
    let _ = send(conn, Body::Refused(refused)).await;
}

async fn send(conn: &mut Connection, body: Body) -> Result<()> {
    let frame = Frame {
        body: Some(body),
        ..Frame::default()
    };
    conn.send(frame).await
}

async fn read(conn: &mut Connection) -> Result<Body> {
    let frame = conn.next().await.ok_or(Error::Lost)??;
    match frame.body {
        Some(Body::Refused(refused)) => Err(Error::Refused(refused.reason)),
        Some(body) => Ok(body),
        None => Err(Error::Protocol("empty frame".to_owned())),
    }
}

async fn read_hello(conn: &mut Connection) -> Result<Hello> {
    match read(conn).await? {
        Body::Hello(hello) => Ok(hello),
        _ => Err(Error::Protocol("expected a hello".to_owned())),
    }
}

async fn read_proof(conn: &mut Connection) -> Result<Bytes> {
    match read(conn).await? {
        Body::Proof(proof) => Ok(proof.mac),
        _ => Err(Error::Protocol("expected a proof".to_owned())),
    }
}
