//! An authenticated connection that carries messages in both directions.

use crate::codec::FrameCodec;
use crate::counted_stream::{ByteCount, CountedStream};
use crate::error::{Error, Result};
use crate::handshake::Connection;
use crate::identity::Identity;
use crate::proto::frame::Body;
use crate::proto::{Beat, Frame};
use crate::settings::LinkSettings;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_util::codec::{Framed, FramedParts};
use tokio_util::sync::CancellationToken;

type CountedConnection = Framed<CountedStream, FrameCodec>;

/// Maximum number of frames written before the socket is flushed.
const MAX_FRAMES_PER_FLUSH: usize = 64;

/// A handle to a connection; clones share the connection.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
}

/// A request or one-way message from the peer.
#[derive(Debug)]
pub struct Incoming {
    /// The call number for the reply; 0 for a one-way message.
    pub call: u64,
    /// The message.
    pub body: Body,
    /// The link on which the message arrived.
    pub link: Link,
}

#[derive(Debug)]
struct Shared {
    peer: Identity,
    tx: mpsc::Sender<Frame>,
    pending_calls: Mutex<BTreeMap<u64, oneshot::Sender<Body>>>,
    next_call: AtomicU64,
    closed: CancellationToken,
}

impl Link {
    pub(crate) fn spawn(
        conn: Connection,
        peer: Identity,
        cfg: &LinkSettings,
    ) -> (Link, mpsc::Receiver<Incoming>) {
        let (tx, frames) = mpsc::channel(cfg.queue_capacity);
        let (incoming, rx) = mpsc::channel(cfg.queue_capacity);
        let shared = Arc::new(Shared {
            peer,
            tx,
            pending_calls: Mutex::new(BTreeMap::new()),
            next_call: AtomicU64::new(1),
            closed: CancellationToken::new(),
        });
        let link = Link { shared };
        let conn = count_bytes(conn);
        let (read_count, written_count) =
            (conn.get_ref().read_count(), conn.get_ref().written_count());
        let (sink, stream) = conn.split();
        let closed = link.shared.closed.clone();
        tokio::spawn(write(sink, written_count, frames, closed, cfg.clone()));
        let silence = cfg.silence_timeout();
        tokio::spawn(read(stream, read_count, incoming, link.clone(), silence));
        (link, rx)
    }

    /// Returns the identity of the peer.
    #[must_use]
    pub fn peer(&self) -> &Identity {
        &self.shared.peer
    }

    /// Whether both handles are of the same connection.
    #[must_use]
    pub fn is_same(&self, other: &Link) -> bool {
        Arc::ptr_eq(&self.shared, &other.shared)
    }

    /// Sends a one-way message; waits while the queue is full. `Ok` only means that the
    /// message was queued.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the link is down.
    pub async fn send(&self, body: Body) -> Result<()> {
        self.enqueue(Frame {
            call: 0,
            reply: false,
            body: Some(body),
        })
        .await
    }

    /// Sends a request and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the link was already down, and [`Error::Lost`] or
    /// [`Error::TimedOut`] if the peer may have received the request.
    pub async fn call(&self, body: Body, timeout: Duration) -> Result<Body> {
        let call = self.shared.next_call.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.shared.pending_calls().insert(call, tx);
        let pending = PendingCall {
            shared: &self.shared,
            call,
        };
        self.enqueue(Frame {
            call,
            reply: false,
            body: Some(body),
        })
        .await?;
        let reply = tokio::select! {
            biased;
            reply = rx => reply.map_err(|_| Error::Lost),
            () = self.closed() => Err(Error::Lost),
            () = tokio::time::sleep(timeout) => Err(Error::TimedOut),
        };
        drop(pending);
        reply
    }

    /// Replies to a request from the peer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::NotSent`] if the link is down.
    pub async fn reply(&self, call: u64, body: Body) -> Result<()> {
        self.enqueue(Frame {
            call,
            reply: true,
            body: Some(body),
        })
        .await
    }

    /// Closes the link; pending calls fail.
    pub fn close(&self) {
        self.shared.closed.cancel();
    }

    /// Waits until the link is closed.
    pub async fn closed(&self) {
        self.shared.closed.cancelled().await;
    }

    /// Returns whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.shared.closed.is_cancelled()
    }

    async fn enqueue(&self, frame: Frame) -> Result<()> {
        if self.is_closed() {
            return Err(Error::NotSent);
        }
        tokio::select! {
            sent = self.shared.tx.send(frame) => sent.map_err(|_| Error::NotSent),
            () = self.closed() => Err(Error::NotSent),
        }
    }
}

impl Shared {
    fn pending_calls(&self) -> MutexGuard<'_, BTreeMap<u64, oneshot::Sender<Body>>> {
        // No code panics while holding the lock, so a poisoned map is still consistent.
        self.pending_calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a pending call when its caller stops waiting, including when its future is
/// dropped. Otherwise the map would grow without bound.
struct PendingCall<'a> {
    shared: &'a Shared,
    call: u64,
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.shared.pending_calls().remove(&self.call);
    }
}

fn count_bytes(conn: Connection) -> CountedConnection {
    let parts = conn.into_parts();
    let mut counted = FramedParts::new::<Frame>(CountedStream::new(parts.io), parts.codec);
    counted.read_buf = parts.read_buf;
    counted.write_buf = parts.write_buf;
    Framed::from_parts(counted)
}

async fn write(
    mut sink: SplitSink<CountedConnection, Frame>,
    written: ByteCount,
    mut frames: mpsc::Receiver<Frame>,
    closed: CancellationToken,
    cfg: LinkSettings,
) {
    let mut heartbeats = interval(cfg.heartbeat_interval);
    heartbeats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut sent = 0;
    loop {
        let frame = tokio::select! {
            biased;
            () = closed.cancelled() => break,
            _ = heartbeats.tick() => heartbeat(&mut sent),
            frame = frames.recv() => match frame {
                Some(frame) => frame,
                None => break,
            },
        };
        // If a write makes no progress for the silence timeout, the peer has stopped reading.
        // Without this timeout, senders would wait forever for space in the queue.
        let batch = write_batch(&mut sink, &mut frames, frame);
        match written.wait(cfg.silence_timeout(), batch).await {
            Some(Ok(())) => {}
            Some(Err(_)) | None => break,
        }
    }
    closed.cancel();
    // Close the write side. The timeout is needed because the peer may have stopped reading.
    let _ = timeout(cfg.heartbeat_interval, sink.close()).await;
}

/// Writes `frame` and the frames queued behind it, then flushes once.
async fn write_batch(
    sink: &mut SplitSink<CountedConnection, Frame>,
    frames: &mut mpsc::Receiver<Frame>,
    frame: Frame,
) -> Result<()> {
    sink.feed(frame).await?;
    for _ in 1..MAX_FRAMES_PER_FLUSH {
        let Ok(frame) = frames.try_recv() else { break };
        sink.feed(frame).await?;
    }
    sink.flush().await
}

fn heartbeat(sent: &mut u64) -> Frame {
    *sent += 1;
    Frame {
        body: Some(Body::Beat(Beat { sent: *sent })),
        ..Frame::default()
    }
}

async fn read(
    mut stream: SplitStream<CountedConnection>,
    count: ByteCount,
    incoming: mpsc::Sender<Incoming>,
    link: Link,
    silence_timeout: Duration,
) {
    loop {
        // A connection can become permanently silent while new ones work, for example if a
        // middlebox has lost its state. No operation on it would fail; missing heartbeats
        // are the only indication.
        let next = tokio::select! {
            () = link.closed() => break,
            next = count.wait(silence_timeout, stream.next()) => next,
        };
        let Some(Some(Ok(frame))) = next else { break };
        if !dispatch(frame, &incoming, &link).await {
            break;
        }
    }
    link.close();
}

/// Dispatches a frame. Returns false if the receiver of incoming messages was dropped.
async fn dispatch(frame: Frame, incoming: &mpsc::Sender<Incoming>, link: &Link) -> bool {
    let Some(body) = frame.body else { return true };
    if matches!(body, Body::Beat(_)) {
        return true;
    }
    if frame.reply {
        if let Some(tx) = link.shared.pending_calls().remove(&frame.call) {
            // The caller may have stopped waiting in the meantime.
            let _ = tx.send(body);
        }
        return true;
    }
    let message = Incoming {
        call: frame.call,
        body,
        link: link.clone(),
    };
    tokio::select! {
        sent = incoming.send(message) => sent.is_ok(),
        () = link.closed() => false,
    }
}
