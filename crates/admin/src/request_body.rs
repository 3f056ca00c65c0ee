//! Bodies of requests.

use std::error::Error;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body as _, Incoming};
use intake::Phase;

use crate::Problem;
use crate::caller::{BodyCharge, CallerConnection, NoRoom};
use crate::caller_metrics::{Refused, count_refused};

/// Growth of the buffer of a large body.
const GROWTH_BYTES: usize = 64 << 10;

/// First size of the buffer of a body that announces no length.
const FIRST_BYTES: usize = 4 << 10;

/// Time after which a caller may try again whose body found no room.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The body of a request, which has not been read yet.
pub struct RequestBody {
    incoming: Incoming,
    connection: Arc<CallerConnection>,
}

impl RequestBody {
    pub(crate) fn new(incoming: Incoming, connection: Arc<CallerConnection>) -> RequestBody {
        RequestBody {
            incoming,
            connection,
        }
    }

    /// Reads the whole body. Its bytes are charged to the server's
    /// [`max_bytes`](crate::ServerSettings::max_bytes) before they are read, until the last
    /// clone of the returned [`Bytes`] is dropped.
    ///
    /// # Errors
    ///
    /// Returns 413 if the body is larger than `max_bytes`, 408 if it does not arrive within
    /// `timeout`, 503 if there is no room for it, and 400 if the connection fails. In each
    /// case, the request did not run.
    ///
    /// ```
    /// use admin::{Problem, RequestBody, Response, full};
    /// use std::time::Duration;
    ///
    /// async fn echo(req: hyper::Request<RequestBody>) -> Response {
    ///     let read = req.into_body().read(1 << 20, Duration::from_secs(20)).await;
    ///     read.map_or_else(Problem::into_response, |body| Response::new(full(body)))
    /// }
    /// ```
    pub async fn read(self, max_bytes: usize, timeout: Duration) -> Result<Bytes, Problem> {
        let announced = self.incoming.size_hint().lower();
        let announced = usize::try_from(announced).unwrap_or(usize::MAX);
        if announced > max_bytes {
            return Err(too_large(max_bytes));
        }
        let buf = ChargedBuffer::new(self.connection.charge(), announced, max_bytes);
        let read = tokio::time::timeout(timeout, collect(self.incoming, buf)).await;
        if !self.connection.enter(Phase::Running) {
            return Err(no_room(NoRoom));
        }
        read.unwrap_or_else(|_| {
            let detail = format!("the body did not arrive within {} ms", timeout.as_millis());
            Err(Problem::new(StatusCode::REQUEST_TIMEOUT, detail))
        })
    }
}

/// Copies a body as it arrives. A frame is a part of the connection's much larger read
/// buffer, which is freed only when the last of its frames is dropped.
async fn collect(incoming: Incoming, mut buf: ChargedBuffer) -> Result<Bytes, Problem> {
    let mut incoming = pin!(incoming);
    while let Some(frame) = incoming.as_mut().frame().await {
        let frame = frame.map_err(|error| broken_off(&error))?;
        if let Ok(data) = frame.into_data() {
            buf.extend(data).await?;
        }
    }
    Ok(buf.freeze())
}

/// A buffer whose capacity is charged.
struct ChargedBuffer {
    bytes: Vec<u8>,
    charge: BodyCharge,
    announced: usize,
    max_bytes: usize,
}

impl ChargedBuffer {
    fn new(charge: BodyCharge, announced: usize, max_bytes: usize) -> ChargedBuffer {
        ChargedBuffer {
            bytes: Vec::new(),
            charge,
            announced,
            max_bytes,
        }
    }

    async fn extend(&mut self, mut data: Bytes) -> Result<(), Problem> {
        if data.len() > self.max_bytes - self.bytes.len() {
            return Err(too_large(self.max_bytes));
        }
        while data.has_remaining() {
            if self.bytes.len() == self.bytes.capacity() {
                self.grow().await?;
            }
            let room = self.bytes.capacity() - self.bytes.len();
            let part = data.split_to(data.len().min(room));
            self.bytes.extend_from_slice(&part);
        }
        Ok(())
    }

    /// Grows by equal steps: a buffer that doubles could be half empty.
    async fn grow(&mut self) -> Result<(), Problem> {
        let capacity = self.bytes.capacity();
        let is_first = capacity == 0 && self.announced == 0;
        let step = if is_first { FIRST_BYTES } else { GROWTH_BYTES };
        let end = if self.announced > capacity {
            self.announced
        } else {
            self.max_bytes
        };
        let step = step.min(end - capacity);
        self.charge.add(step).await.map_err(no_room)?;
        self.bytes.reserve_exact(step);
        Ok(())
    }

    fn freeze(self) -> Bytes {
        if self.bytes.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for ChargedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

fn broken_off(error: &dyn Error) -> Problem {
    let detail = format!("the body broke off: {error}");
    Problem::new(StatusCode::BAD_REQUEST, detail)
}

fn no_room(_: NoRoom) -> Problem {
    log::info!("rejected a request: no memory for its body");
    count_refused(Refused::Body);
    let detail = "there is no memory for the body";
    let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, detail);
    problem.retry_after = Some(RETRY_AFTER);
    problem
}

fn too_large(max_bytes: usize) -> Problem {
    let detail = format!("the body is larger than {max_bytes} bytes");
    Problem::new(StatusCode::PAYLOAD_TOO_LARGE, detail)
}
