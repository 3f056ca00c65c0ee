//! A connection that counts its bytes.

use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Number of bytes that were read or written so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByteCount(Arc<AtomicU64>);

impl ByteCount {
    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Waits for `operation`, for as long as this count rises at least once in `silence`.
    ///
    /// A large frame may take longer than `silence` on a thin link.
    pub(crate) async fn wait<T>(
        &self,
        silence: Duration,
        operation: impl Future<Output = T>,
    ) -> Option<T> {
        let mut operation = pin!(operation);
        loop {
            let before = self.get();
            if let Ok(output) = timeout(silence, operation.as_mut()).await {
                return Some(output);
            }
            if self.get() == before {
                return None;
            }
        }
    }
}

/// A connection that counts its bytes.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: TcpStream,
    read: ByteCount,
    written: ByteCount,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream) -> CountedStream {
        CountedStream {
            stream,
            read: ByteCount::default(),
            written: ByteCount::default(),
        }
    }

    pub(crate) fn read_count(&self) -> ByteCount {
        self.read.clone()
    }

    pub(crate) fn written_count(&self) -> ByteCount {
        self.written.clone()
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.read.add(buf.filled().len() - before);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(bytes)) = &polled {
            self.written.add(*bytes);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
