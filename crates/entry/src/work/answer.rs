//! Answers for callers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;
use wire::proto::Header;

/// An answer that has ended.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u32,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
    pub(crate) confirmation: Confirmation,
}

/// Whether an answer that has ended is known to be complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Confirmation {
    Complete,
    /// The target ended it with its connection.
    Unknown,
}

/// Answer to a request for a stream.
#[derive(Debug)]
pub(crate) enum StreamAnswer {
    /// A stream of events.
    Events {
        headers: Vec<Header>,
        body: EventBody,
    },
    /// The target sent an answer that is not a stream, usually an error.
    Buffered(Answer),
}

/// The body of a stream. An error in it closes the connection without the final chunk,
/// so that the caller cannot mistake a truncated stream for a complete one.
#[derive(Debug)]
pub(crate) struct EventBody {
    rx: mpsc::Receiver<io::Result<Bytes>>,
}

impl EventBody {
    pub(crate) fn new(rx: mpsc::Receiver<io::Result<Bytes>>) -> Self {
        EventBody { rx }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let next = self.rx.poll_recv(cx);
        next.map(|next| next.map(|data| data.map(Frame::data)))
    }
}
