//! Lingering close: closing a connection without losing the last response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// Maximum number of bytes to read and discard.
const MAX_DISCARDED_BYTES: usize = 64 << 20;

/// Maximum time to wait for the peer to stop sending.
const LINGER_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes to discard per read.
const CHUNK_BYTES: usize = 16 << 10;

/// What the end of a connection depends on. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionState {
    /// Whether a request body may be left unread.
    pub(crate) unread_body: Arc<AtomicBool>,
    /// Whether the end of the connection would complete a response that is not complete.
    pub(crate) unfinished_response: Arc<AtomicBool>,
}

/// A connection that keeps reading after its last response, if a request body may
/// not have been read completely.
///
/// Closing a socket with unread bytes resets the connection, and a reset makes the
/// peer's kernel discard data that it has already received: a caller that is still
/// sending a body rejected as too large would get a broken pipe instead of the 413
/// response. Therefore the write side is shut down first, and the remaining bytes
/// are read and discarded, up to a limit in size and time.
///
/// While a response that ends with the connection is unfinished, closing the connection
/// resets it, also if the process is killed.
pub(crate) struct LingeringStream {
    stream: TcpStream,
    state: ConnectionState,
    resets_on_close: bool,
    write_shut_down: bool,
    discarded: usize,
    deadline: Option<Pin<Box<Sleep>>>,
}

impl LingeringStream {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream, state: ConnectionState) -> Self {
        LingeringStream {
            stream,
            state,
            resets_on_close: false,
            write_shut_down: false,
            discarded: 0,
            deadline: None,
        }
    }

    /// Lets the end of the connection tell whether the response is complete.
    fn update_close_mode(&mut self) -> io::Result<()> {
        let reset = self.state.unfinished_response.load(Ordering::Relaxed);
        if reset != self.resets_on_close {
            let linger = reset.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.resets_on_close = reset;
        }
        Ok(())
    }

    /// Reads and discards the remaining bytes. Ready once the peer has closed its side or
    /// a limit is reached.
    fn poll_discard_rest(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let deadline = self
            .deadline
            .get_or_insert_with(|| Box::pin(sleep(LINGER_TIMEOUT)));
        if deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut chunk = [0; CHUNK_BYTES];
        while self.discarded < MAX_DISCARDED_BYTES {
            let mut buf = ReadBuf::new(&mut chunk);
            let read = Pin::new(&mut self.stream).poll_read(cx, &mut buf);
            let filled = buf.filled().len();
            if ready!(read).is_err() || filled == 0 {
                break;
            }
            self.discarded += filled;
        }
        Poll::Ready(())
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_close_mode()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.update_close_mode()?;
        if self.resets_on_close {
            return Poll::Ready(Ok(()));
        }
        if !self.write_shut_down {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
            self.write_shut_down = true;
        }
        if self.state.unread_body.load(Ordering::Relaxed) {
            ready!(self.poll_discard_rest(cx));
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_close_mode()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
