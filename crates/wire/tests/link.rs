//! Links: calls, wrong keys, silence, bytes that are no frames.

use bytes::BytesMut;
use quickcheck::{Gen, QuickCheck};
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Decoder;
use wire::proto::frame::Body;
use wire::proto::{FetchNotes, Notes};
use wire::{ClusterKey, Error, FrameCodec, Identity, Incoming, Link, LinkSettings, Role};

const WITHIN: Duration = Duration::from_secs(20);

fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"a key of the cluster").unwrap()
}

fn quick() -> LinkSettings {
    LinkSettings {
        heartbeat_interval: Duration::from_millis(100),
        dial_timeout: WITHIN,
        ..LinkSettings::default()
    }
}

fn entry() -> Identity {
    Identity::new(Role::Entry, "entry-1", 1)
}

async fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap()
}

type Accepted = wire::Result<(Link, mpsc::Receiver<Incoming>)>;

fn accept_one(listener: TcpListener, key: ClusterKey) -> tokio::task::JoinHandle<Accepted> {
    tokio::spawn(async move {
        let me = Identity::new(Role::Control, "control-1", 2);
        let (stream, _) = listener.accept().await.unwrap();
        wire::accept(stream, &me, &key, &quick()).await
    })
}

#[tokio::test]
async fn call_answered_by_number() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let accepted = accept_one(listener, key());
    let (link, _rx) = wire::dial(address, &entry(), &key(), &quick())
        .await
        .unwrap();
    let (other, mut rx) = accepted.await.unwrap().unwrap();
    assert_eq!(link.peer().name, "control-1");
    assert_eq!(other.peer(), &entry());
    tokio::spawn(async move {
        let mut held = Vec::new();
        while let Some(incoming) = rx.recv().await {
            held.push(incoming);
            if held.len() == 2 {
                // The later request is answered first.
                for incoming in held.drain(..).rev() {
                    let Body::FetchNotes(ask) = incoming.body else {
                        panic!()
                    };
                    let notes = Notes {
                        number: ask.after,
                        ..Notes::default()
                    };
                    incoming
                        .link
                        .reply(incoming.call, Body::Notes(notes))
                        .await
                        .unwrap();
                }
            }
        }
    });
    let ask = |after| link.call(Body::FetchNotes(FetchNotes { after }), WITHIN);
    let (first, second) = tokio::join!(ask(5), ask(6));
    assert!(matches!(first.unwrap(), Body::Notes(notes) if notes.number == 5));
    assert!(matches!(second.unwrap(), Body::Notes(notes) if notes.number == 6));
}

/// A process is started with the key file of another deployment. Were it let in, it
/// could order this deployment's targets about.
#[tokio::test]
async fn accept_wrong_key() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let accepted = accept_one(listener, key());
    let wrong = ClusterKey::from_bytes(b"the key of another cluster").unwrap();
    let dialled = wire::dial(address, &entry(), &wrong, &quick()).await;
    assert!(matches!(dialled, Err(Error::Refused(_))));
    assert!(matches!(accepted.await.unwrap(), Err(Error::WrongKey)));
}

/// Somebody without the key sends our own hello and proof back to us. Without the
/// side in the proof he would pass.
#[tokio::test]
async fn dial_own_proof_sent_back() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        while let Ok(n @ 1..) = stream.read(&mut buf).await {
            stream.write_all(&buf[..n]).await.unwrap();
        }
    });
    let dialled = wire::dial(address, &entry(), &key(), &quick()).await;
    assert!(matches!(dialled, Err(Error::WrongKey)));
}

/// A host that is just starting answers nothing yet. The kernel asks it again only
/// after a second, and until then nobody would learn that it is up.
#[tokio::test]
async fn dial_unanswered() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let address = socket.local_addr().unwrap();
    // Beyond those that wait to be accepted, connections aren't answered.
    let listener = socket.listen(1).unwrap();
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(300), TcpStream::connect(address)).await
    {
        waiting.push(stream);
    }
    let cfg = LinkSettings {
        connect_timeout: Duration::from_millis(50),
        dial_timeout: Duration::from_hours(1),
        ..quick()
    };
    let dialled = timeout(WITHIN, wire::dial(address, &entry(), &key(), &cfg)).await;
    assert!(matches!(dialled, Ok(Err(Error::TimedOut))));
    drop(listener);
}

/// Copies bytes between two ends until told to swallow them.
async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, swallow: Arc<AtomicBool>) {
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        if !swallow.load(Ordering::SeqCst) && to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
}

/// Something between the two ends loses track of an open connection: no byte arrives
/// any more and nothing fails. A user would wait for ever on an answer.
#[tokio::test]
async fn closed_after_silence() {
    for (there, back) in [(true, true), (true, false), (false, true)] {
        let listener = listen().await;
        let address = listener.local_addr().unwrap();
        let accepted = accept_one(listener, key());
        let relay = listen().await;
        let through = relay.local_addr().unwrap();
        let swallow = [
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        ];
        let switches = swallow.clone();
        tokio::spawn(async move {
            let (near, _) = relay.accept().await.unwrap();
            let far = TcpStream::connect(address).await.unwrap();
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            tokio::spawn(copy(near_rx, far_tx, switches[0].clone()));
            tokio::spawn(copy(far_rx, near_tx, switches[1].clone()));
        });
        let (link, _rx) = wire::dial(through, &entry(), &key(), &quick())
            .await
            .unwrap();
        let (other, _other_rx) = accepted.await.unwrap().unwrap();
        swallow[0].store(there, Ordering::SeqCst);
        swallow[1].store(back, Ordering::SeqCst);
        let gone = async {
            if back {
                link.closed().await;
            }
            if there {
                other.closed().await;
            }
        };
        tokio::time::timeout(WITHIN, gone).await.unwrap();
    }
}

/// A request is handed to a link that is already down. Only then may the caller be
/// told that nothing ran.
#[tokio::test]
async fn call_link_down_not_sent() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let accepted = accept_one(listener, key());
    let (link, _rx) = wire::dial(address, &entry(), &key(), &quick())
        .await
        .unwrap();
    let (other, _other_rx) = accepted.await.unwrap().unwrap();
    let ask = || link.call(Body::FetchNotes(FetchNotes { after: 1 }), WITHIN);
    let closing = async { other.close() };
    let (in_flight, ()) = tokio::join!(ask(), closing);
    assert!(!in_flight.unwrap_err().is_not_sent());
    assert!(ask().await.unwrap_err().is_not_sent());
}

/// Something that isn't ours talks to a link's port. A daemon that fell over at its
/// bytes would take all its callers with it.
#[test]
fn decode_any_bytes() {
    fn decodes((bytes, length): (Vec<u8>, u8)) -> bool {
        let mut buf = BytesMut::new();
        buf.extend_from_slice(&u32::from(length).to_be_bytes());
        buf.extend(bytes);
        let mut codec = FrameCodec::new(1 << 16);
        while let Ok(Some(_)) = codec.decode(&mut buf) {}
        true
    }
    QuickCheck::new()
        .tests(2_000)
        .rng(Gen::from_size_and_seed(300, 11))
        .quickcheck(decodes as fn((Vec<u8>, u8)) -> bool);
}
