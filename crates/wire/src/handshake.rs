//! Both sides prove that they hold the cluster key before anything else is said.

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

/// Version of the protocol between the processes.
const VERSION: u32 = 1;
/// Bytes of the nonce in a hello.
const NONCE: usize = 16;

/// Which side of the connection a proof is for: a proof that is sent back to its
/// maker must not pass for the other side's.
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

/// Exchanges hellos and proofs; answers who the other side is.
pub(crate) async fn shake(
    conn: &mut Connection,
    side: Side,
    me: &Identity,
    key: &ClusterKey,
) -> Result<Identity> {
    let mine = hello(me);
    send(conn, Body::Hello(mine.clone())).await?;
    let theirs = read_hello(conn).await?;
    let peer = identity(&theirs)?;
    let (first, second) = match side {
        Side::Dialer => (&mine, &theirs),
        Side::Acceptor => (&theirs, &mine),
    };
    let first = first.encode_to_vec();
    let second = second.encode_to_vec();
    let proof = key.sign(&[side.label(), &first, &second])?;
    // The acceptor tells nothing signed with its key before the dialer has proved
    // itself, so that a stranger learns nothing by connecting.
    if side == Side::Dialer {
        send(conn, proof_body(proof)).await?;
        let theirs = read_proof(conn).await?;
        key.verify(&[side.other().label(), &first, &second], &theirs)?;
    } else {
        let theirs = read_proof(conn).await?;
        let verified = key.verify(&[side.other().label(), &first, &second], &theirs);
        if let Err(err) = verified {
            refuse(conn, "wrong cluster key").await;
            return Err(err);
        }
        send(conn, proof_body(proof)).await?;
    }
    Ok(peer)
}

fn hello(me: &Identity) -> Hello {
    let nonce: [u8; NONCE] = rand::random();
    Hello {
        role: me.role.into(),
        name: me.name.clone(),
        incarnation: me.incarnation,
        nonce: Bytes::copy_from_slice(&nonce),
        version: VERSION,
    }
}

fn identity(hello: &Hello) -> Result<Identity> {
    if hello.version != VERSION {
        let reason = format!("protocol version {} instead of {VERSION}", hello.version);
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
    // The connection ends either way; whether the reason arrives changes nothing.
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
