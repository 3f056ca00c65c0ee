//! Responses that are being sent.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use intake::Phase;

use crate::Body;
use crate::caller::CallerConnection;

/// A response body. Its connection is idle again once the body is dropped.
pub(crate) struct ServedBody {
    inner: Body,
    connection: Arc<CallerConnection>,
}

impl ServedBody {
    pub(crate) fn new(inner: Body, connection: Arc<CallerConnection>) -> ServedBody {
        ServedBody { inner, connection }
    }
}

impl Drop for ServedBody {
    fn drop(&mut self) {
        // A connection that is being closed needs no further phase.
        let _ = self.connection.enter(Phase::Idle);
    }
}

impl hyper::body::Body for ServedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
