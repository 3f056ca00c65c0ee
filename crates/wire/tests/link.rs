//! Links: calls, wrong keys, silent connections, invalid frames.

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

const TIMEOUT: Duration = Duration::from_secs(20);

fn key() -> ClusterKey {
    ClusterKey::from_bytes(b"a key of the cluster").unwrap()
}

fn test_settings() -> LinkSettings {
    LinkSettings {
        heartbeat_interval: Duration::from_millis(100),
        dial_timeout: TIMEOUT,
        ..LinkSettings::default()
    }
}

fn entry_identity() -> Identity {
    Identity::new(Role::Entry, "entry-1", 1)
}

async fn listen() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap()
}

type AcceptResult = wire::Result<(Link, mpsc::Receiver<Incoming>)>;

fn accept_one(listener: TcpListener, key: ClusterKey) -> tokio::task::JoinHandle<AcceptResult> {
    tokio::spawn(async move {
        let me = Identity::new(Role::Control, "control-1", 2);
        let (stream, _) = listener.accept().await.unwrap();
        wire::accept(stream, &me, &key, &test_settings()).await
    })
}

#[tokio::test]
async fn replies_are_matched_by_call_number() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let accepted = accept_one(listener, key());
    let (link, _rx) = wire::dial(address, &entry_identity(), &key(), &test_settings())
        .await
        .unwrap();
    let (other, mut rx) = accepted.await.unwrap().unwrap();
    assert_eq!(link.peer().name, "control-1");
    assert_eq!(other.peer(), &entry_identity());
    tokio::spawn(async move {
        let mut requests = Vec::new();
        while let Some(incoming) = rx.recv().await {
            requests.push(incoming);
            if requests.len() == 2 {
                // Reply to the later request first.
                for incoming in requests.drain(..).rev() {
                    let Body::FetchNotes(request) = incoming.body else {
                        panic!()
                    };
                    let notes = Notes {
                        number: request.after,
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
    let fetch = |after| link.call(Body::FetchNotes(FetchNotes { after }), TIMEOUT);
    let (first, second) = tokio::join!(fetch(5), fetch(6));
    assert!(matches!(first.unwrap(), Body::Notes(notes) if notes.number == 5));
    assert!(matches!(second.unwrap(), Body::Notes(notes) if notes.number == 6));
}

/// A process is started with the key file of another deployment. It must be rejected, since
/// it could otherwise control the targets of this deployment.
#[tokio::test]
async fn accept_rejects_wrong_key() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let accepted = accept_one(listener, key());
    let wrong = ClusterKey::from_bytes(b"the key of another cluster").unwrap();
    let dialled = wire::dial(address, &entry_identity(), &wrong, &test_settings()).await;
    assert!(matches!(dialled, Err(Error::Refused(_))));
    assert!(matches!(accepted.await.unwrap(), Err(Error::WrongKey)));
}

/// A peer without the key reflects our own hello and proof. It must be rejected; without the
/// side in the proof, it would be accepted.
#[tokio::test]
async fn dial_rejects_reflected_proof() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 4096];
        while let Ok(n @ 1..) = stream.read(&mut buf).await {
            stream.write_all(&buf[..n]).await.unwrap();
        }
    });
    let dialled = wire::dial(address, &entry_identity(), &key(), &test_settings()).await;
    assert!(matches!(dialled, Err(Error::WrongKey)));
}

/// A host that is just starting does not answer yet. The kernel retransmits the SYN only
/// after one second; the connect timeout must expire earlier, so that dialling can be
/// retried.
#[tokio::test]
async fn dial_times_out_without_answer() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let address = socket.local_addr().unwrap();
    // Once the accept queue is full, further connections aren't answered.
    let listener = socket.listen(1).unwrap();
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(300), TcpStream::connect(address)).await
    {
        queued.push(stream);
    }
    let cfg = LinkSettings {
        connect_timeout: Duration::from_millis(50),
        dial_timeout: Duration::from_hours(1),
        ..test_settings()
    };
    let dialled = timeout(
        TIMEOUT,
        wire::dial(address, &entry_identity(), &key(), &cfg),
    )
    .await;
    assert!(matches!(dialled, Ok(Err(Error::TimedOut))));
    drop(listener);
}

/// Forwards bytes; discards them while `discard` is set.
async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, discard: Arc<AtomicBool>) {
    let mut buf = [0; 4096];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        if !discard.load(Ordering::SeqCst) && to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
}

/// A middlebox loses the state of an open connection: no bytes arrive any more, and no
/// operation fails. The link must be closed, or callers would wait forever for an answer.
#[tokio::test]
async fn silent_link_is_closed() {
    for (drop_forward, drop_back) in [(true, true), (true, false), (false, true)] {
        let listener = listen().await;
        let address = listener.local_addr().unwrap();
        let accepted = accept_one(listener, key());
        let relay = listen().await;
        let relay_address = relay.local_addr().unwrap();
        let discard = [
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        ];
        let switches = discard.clone();
        tokio::spawn(async move {
            let (near, _) = relay.accept().await.unwrap();
            let far = TcpStream::connect(address).await.unwrap();
            let (near_rx, near_tx) = near.into_split();
            let (far_rx, far_tx) = far.into_split();
            tokio::spawn(forward(near_rx, far_tx, switches[0].clone()));
            tokio::spawn(forward(far_rx, near_tx, switches[1].clone()));
        });
        let (link, _rx) = wire::dial(relay_address, &entry_identity(), &key(), &test_settings())
            .await
            .unwrap();
        let (other, _other_rx) = accepted.await.unwrap().unwrap();
        discard[0].store(drop_forward, Ordering::SeqCst);
        discard[1].store(drop_back, Ordering::SeqCst);
        let closed = async {
            if drop_back {
                link.closed().await;
            }
            if drop_forward {
                other.closed().await;
            }
        };
        tokio::time::timeout(TIMEOUT, closed).await.unwrap();
    }
}

/// A request is sent on a link that is already down. Only in this case may the caller be told
/// that the request did not run.
#[tokio::test]
async fn call_on_closed_link_is_not_sent() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let accepted = accept_one(listener, key());
    let (link, _rx) = wire::dial(address, &entry_identity(), &key(), &test_settings())
        .await
        .unwrap();
    let (other, _other_rx) = accepted.await.unwrap().unwrap();
    let fetch = || link.call(Body::FetchNotes(FetchNotes { after: 1 }), TIMEOUT);
    let closing = async { other.close() };
    let (in_flight, ()) = tokio::join!(fetch(), closing);
    assert!(!in_flight.unwrap_err().is_not_sent());
    assert!(fetch().await.unwrap_err().is_not_sent());
}

/// An unrelated program connects to a link's port. Its bytes must not make the daemon panic,
/// which would affect all callers.
#[test]
fn decode_arbitrary_bytes_does_not_panic() {
    fn property((bytes, length): (Vec<u8>, u8)) -> bool {
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
        .quickcheck(property as fn((Vec<u8>, u8)) -> bool);
}

/// Forwards what one connection to a listener receives, a little at a time.
async fn forward_slowly(listener: TcpListener, target: std::net::SocketAddr) {
    const PIECE_BYTES: usize = 32 << 10;
    const PAUSE: Duration = Duration::from_millis(10);
    let (from, _) = listener.accept().await.unwrap();
    let to = TcpStream::connect(target).await.unwrap();
    let (mut from_read, mut from_write) = from.into_split();
    let (mut to_read, mut to_write) = to.into_split();
    tokio::spawn(async move { tokio::io::copy(&mut to_read, &mut from_write).await });
    let mut piece = vec![0; PIECE_BYTES];
    while let Ok(read) = from_read.read(&mut piece).await
        && read > 0
        && to_write.write_all(&piece[..read]).await.is_ok()
    {
        tokio::time::sleep(PAUSE).await;
    }
}

/// Guards against a link that is closed as silent while a frame passes that takes longer than
/// the silence timeout.
#[tokio::test]
async fn large_frame_on_thin_link() {
    let listener = listen().await;
    let address = listener.local_addr().unwrap();
    let accepted = accept_one(listener, key());
    let socket = TcpSocket::new_v4().unwrap();
    // Otherwise the system takes the frame from the sender at once.
    socket.set_recv_buffer_size(32 << 10).unwrap();
    socket.bind((Ipv4Addr::LOCALHOST, 0).into()).unwrap();
    let thin = socket.listen(1).unwrap();
    let thin_address = thin.local_addr().unwrap();
    tokio::spawn(forward_slowly(thin, address));
    let (link, _rx) = wire::dial(thin_address, &entry_identity(), &key(), &test_settings())
        .await
        .unwrap();
    let (_other, mut rx) = accepted.await.unwrap().unwrap();
    let table = vec![b' '; 8 << 20];
    let notes = Notes {
        snapshot: table.into(),
        ..Notes::default()
    };
    link.send(Body::Notes(notes.clone())).await.unwrap();
    let received = timeout(TIMEOUT, rx.recv()).await.unwrap();
    assert!(received.is_some_and(|incoming| incoming.body == Body::Notes(notes)));
}
