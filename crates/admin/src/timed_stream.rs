//! Time limits on idle connections and request heads.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use intake::Timeouts;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep_until};

use crate::caller::CallerConnection;
use crate::caller_metrics::{CloseReason, count_closed};
use crate::linger::LingeringStream;

/// A connection whose reads fail once it is idle, or sends a request head, for too long.
pub(crate) struct TimedStream {
    stream: LingeringStream,
    connection: Arc<CallerConnection>,
    timeouts: Timeouts,
    timer: Option<Pin<Box<Sleep>>>,
}

impl TimedStream {
    pub(crate) fn new(
        stream: LingeringStream,
        connection: Arc<CallerConnection>,
        timeouts: Timeouts,
    ) -> TimedStream {
        TimedStream {
            stream,
            connection,
            timeouts,
            timer: None,
        }
    }

    /// Ready once the time limit of the connection's phase has passed.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.connection.deadline(&self.timeouts) else {
            return Poll::Pending;
        };
        let deadline = tokio::time::Instant::from_std(deadline);
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(sleep_until(deadline)));
        if timer.deadline() != deadline {
            timer.as_mut().reset(deadline);
        }
        timer.as_mut().poll(cx)
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                if buf.filled().len() > filled {
                    self.connection.on_read();
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                ready!(self.poll_deadline(cx));
                if self.connection.is_receiving_head() {
                    log::info!("closed a connection: request head not complete in time");
                    count_closed(CloseReason::HeadTimeout, 1);
                }
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

impl AsyncWrite for TimedStream {
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
        Pin::new(&mut self.stream).poll_shutdown(cx)
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
