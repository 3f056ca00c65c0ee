//! Closing a connection so that the last answer arrives.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Bytes that are read and dropped, at most.
const MOST_BYTES: usize = 64 << 20;

/// How long a peer may go on sending.
const MOST_TIME: Duration = Duration::from_secs(5);

/// Bytes that are dropped at a time.
const CHUNK: usize = 16 << 10;

/// A connection that reads on after its last answer, if a request's body may
/// not have been read.
///
/// A socket that is closed with unread bytes is reset, and a reset makes the
/// peer's kernel drop what it had received: a caller who still sends a body
/// that was refused as too large would see a broken pipe and never the 413.
/// So the sending side is shut down first and the rest is read and dropped,
/// within bounds.
pub(crate) struct Linger {
    stream: TcpStream,
    wanted: Arc<AtomicBool>,
    shutdown: bool,
    dropped: usize,
    until: Option<Pin<Box<Sleep>>>,
}

impl Linger {
    /// Wraps a connection; `wanted` is set once a body was left unread.
    pub(crate) fn new(stream: TcpStream, wanted: Arc<AtomicBool>) -> Self {
        Linger {
            stream,
            wanted,
            shutdown: false,
            dropped: 0,
            until: None,
        }
    }

    /// Ready once the peer has ended, or the bounds are reached.
    fn poll_drop_rest(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let until = self.until.get_or_insert_with(|| Box::pin(sleep(MOST_TIME)));
        if until.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut chunk = [0; CHUNK];
        while self.dropped < MOST_BYTES {
            let mut buf = ReadBuf::new(&mut chunk);
            let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf);
            let filled = buf.filled().len();
            if ready!(read).is_err() || filled == 0 {
                break;
            }
            self.dropped += filled;
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Linger {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Linger {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.shutdown {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.shutdown = true;
        }
        if self.wanted.load(Ordering::Relaxed) {
            ready!(self.poll_drop_rest(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
