//! Forwards a stream, and resumes it at another target if its own one fails.

use crate::dispatch::Dispatch;
use crate::events::EventBuffer;
use crate::exchange::Head;
use crate::permit::Permit;
use crate::target_response::TargetResponse;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use outlet::{Completeness, Connection, Framing, MAX_STREAM_BYTES};
use route::DispatchOutcome;
use std::io;
use std::time::{Duration, Instant};
use table::RequestKind;
use tokio::time::timeout;

/// Interval at which other targets are looked for while the target of a stream is silent.
const SILENCE_CHECK: Duration = Duration::from_millis(100);

/// Time after the deadline in which a target may still end its stream.
const DEADLINE_GRACE: Duration = Duration::from_millis(200);

/// A stream that is being forwarded to the caller.
struct Relay {
    dispatch: Dispatch,
    /// None once the target has ended the stream or failed.
    source: Option<TargetStream>,
    events: EventBuffer,
    /// Number of bytes that targets have sent.
    received_bytes: usize,
    /// Id of the last event that the caller has received.
    last_event_id: Option<u64>,
    /// When the caller has received its last event, or else sent its request.
    delivered: Instant,
    /// Whether the stream is kept open while no target can go on with it.
    is_held: bool,
    /// How the caller recognises the end of the stream.
    framing: Framing,
}

/// The stream of the current target. Dropping it closes the connection, which makes
/// the target stop.
struct TargetStream {
    body: Incoming,
    conn: Connection,
    info: crate::ResponseInfo,
    permit: Permit,
    framing: Framing,
    /// When the last data was received.
    last_data: Option<Instant>,
}

impl TargetStream {
    fn new(head: Head, permit: Permit) -> TargetStream {
        TargetStream {
            body: head.body,
            conn: head.conn,
            info: head.info,
            permit,
            framing: head.framing,
            last_data: None,
        }
    }

    /// Records the pause before the data that was just received.
    fn record_pause(&mut self, kind: RequestKind) {
        let now = Instant::now();
        let previous = self.last_data.replace(now);
        if let (
            Some(previous),
            RequestKind::Stream {
                pause: Some(max_pause),
                ..
            },
        ) = (previous, kind)
        {
            self.permit.record_pause(now - previous, max_pause, now);
        }
    }
}

/// Result of reading from a target's stream.
enum Next {
    Data(Bytes),
    Ended,
    Broken(String),
    Silent,
}

/// Returns a response whose body forwards a target's events as they arrive.
pub(crate) fn relay(dispatch: Dispatch, head: Head, permit: Permit) -> TargetResponse {
    let framing = head.framing;
    let (status, headers) = (head.status, head.headers.clone());
    let relay = Relay {
        last_event_id: dispatch.req.last_event_id,
        delivered: dispatch.req.arrived,
        is_held: dispatch.balancer.holds_streams(&dispatch.service),
        source: Some(TargetStream::new(head, permit)),
        framing,
        events: EventBuffer::default(),
        received_bytes: 0,
        dispatch,
    };
    let body = stream::unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relay))),
            Ok(None) => None,
            Err(e) => Some((Err(e), None)),
        }
    });
    TargetResponse {
        status,
        headers,
        body: StreamBody::new(body).boxed_unsync(),
        framing,
    }
}

impl Relay {
    /// The next events; none once the stream has ended completely.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(events) = self.complete_events() {
                self.delivered = Instant::now();
                return Ok(Some(events));
            }
            self.move_from_slow_target().await?;
            match self.read().await {
                Next::Data(data) => self.receive(&data)?,
                Next::Ended => {
                    if self.ends_here().await? {
                        return Ok(self.finish());
                    }
                }
                Next::Broken(why) => self.resume_broken(&why).await?,
                Next::Silent => self.resume_elsewhere("target unresponsive").await?,
            }
        }
    }

    /// Buffers data of the target, unless it exceeds what one stream may have.
    fn receive(&mut self, data: &[u8]) -> io::Result<()> {
        self.received_bytes += data.len();
        if Instant::now() > self.dispatch.deadline + DEADLINE_GRACE {
            return Err(self.stream_error("deadline exceeded"));
        }
        if self.received_bytes > MAX_STREAM_BYTES {
            return Err(self.stream_error("stream exceeds the size limit"));
        }
        if !self.events.push(data) {
            return Err(self.stream_error("event exceeds the size limit"));
        }
        Ok(())
    }

    /// All complete events that are buffered, joined into one piece.
    fn complete_events(&mut self) -> Option<Bytes> {
        let mut all: Option<Vec<u8>> = None;
        let mut first = None;
        while let Some(event) = self.events.next() {
            if let (Some(id), Some(last)) = (event.id, self.last_event_id)
                && id <= last
            {
                // The caller has received it from the previous target.
                continue;
            }
            self.last_event_id = event.id.or(self.last_event_id);
            match (&mut all, first.take()) {
                (Some(all), _) => all.extend_from_slice(&event.bytes),
                (None, None) => first = Some(event.bytes),
                (None, Some(first_event)) => {
                    let mut joined = Vec::from(first_event);
                    joined.extend_from_slice(&event.bytes);
                    all = Some(joined);
                }
            }
        }
        all.map(Bytes::from).or(first)
    }

    async fn read(&mut self) -> Next {
        let left = self.dispatch.time_left();
        let inactivity = if self.can_resume() {
            self.dispatch.timing.inactivity.min(left)
        } else {
            left
        };
        let Some(source) = &mut self.source else {
            return Next::Ended;
        };
        let mut silence = inactivity;
        loop {
            match timeout(silence, source.body.frame()).await {
                Ok(None) => return Next::Ended,
                Ok(Some(Err(e))) => return Next::Broken(e.to_string()),
                Ok(Some(Ok(frame))) => {
                    silence = inactivity;
                    if let Ok(data) = frame.into_data() {
                        source.record_pause(self.dispatch.kind);
                        return Next::Data(data);
                    }
                }
                Err(_) if self.is_held && self.dispatch.should_keep_target(self.delivered) => {
                    silence = SILENCE_CHECK;
                }
                Err(_) => return Next::Silent,
            }
        }
    }

    /// Whether the stream ends where its target has ended it; otherwise it is resumed.
    async fn ends_here(&mut self) -> io::Result<bool> {
        let Some(source) = &self.source else {
            return Ok(true);
        };
        match Completeness::of_body(source.framing, self.events.content_end()) {
            Completeness::Complete => return Ok(true),
            Completeness::Truncated => {
                self.resume_broken("response ended inside an event").await?;
            }
            Completeness::Unknown => {
                let (info, permit) = (&source.info, &source.permit);
                if self.dispatch.was_ended_by_exit(info, permit).await {
                    self.resume_elsewhere("target exited").await?;
                } else if self.framing == Framing::Delimited {
                    // The end of the caller's stream must not tell more than is known.
                    self.finish();
                    self.resume_elsewhere("end of the response is unknown")
                        .await?;
                } else {
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Ends the stream as its target has ended it; returns the last bytes.
    fn finish(&mut self) -> Option<Bytes> {
        let TargetStream {
            conn,
            info,
            permit,
            framing,
            ..
        } = self.source.take()?;
        match framing {
            Framing::Delimited => self.dispatch.record_completion(&permit),
            Framing::UntilClose => self.dispatch.log_ended_by_close(&permit),
        }
        crate::service_targets::return_connection(
            permit.endpoint(),
            conn,
            &info,
            &self.dispatch.timing,
        );
        permit.finish(DispatchOutcome::Answered);
        let rest = self.events.take_rest();
        (!rest.is_empty()).then_some(rest)
    }

    fn can_resume(&self) -> bool {
        self.dispatch.kind.may_repeat()
    }

    /// Moves the stream to another target if its own one is so slow that it delays
    /// all streams of the group.
    async fn move_from_slow_target(&mut self) -> io::Result<()> {
        let Some(source) = &self.source else {
            return Ok(());
        };
        let Some(permit) = self.dispatch.acquire_for_move(&source.permit) else {
            return Ok(());
        };
        let why = "target is slow";
        self.dispatch
            .log_failed_attempt(&source.permit, "stream moved", why);
        self.source = None;
        self.events.clear();
        match self.dispatch.resume_at(permit, self.last_event_id).await {
            Some((head, permit)) => {
                self.set_source(head, permit);
                Ok(())
            }
            None => self.resume_elsewhere(why).await,
        }
    }

    /// Resumes the stream at another target after its own one has broken it off.
    async fn resume_broken(&mut self, why: &str) -> io::Result<()> {
        if let Some(source) = &self.source {
            self.dispatch.has_crashed(&source.permit).await;
        }
        self.resume_elsewhere(why).await
    }

    /// Resumes the stream at another target, after the last event that the caller
    /// has received.
    async fn resume_elsewhere(&mut self, why: &str) -> io::Result<()> {
        if let Some(source) = self.source.take() {
            self.dispatch
                .log_failed_attempt(&source.permit, "stream broken", why);
            source.permit.finish(DispatchOutcome::Failed);
        }
        if !self.can_resume() {
            return Err(self.stream_error(why));
        }
        self.events.clear();
        let Some((head, permit)) = self.find_target().await else {
            return Err(self.stream_error(why));
        };
        self.set_source(head, permit);
        Ok(())
    }

    /// Finds a target that goes on with the stream after the last event received.
    async fn find_target(&mut self) -> Option<(Head, Permit)> {
        let after = self.last_event_id;
        if self.is_held {
            self.dispatch.resume_when_able(after, self.delivered).await
        } else {
            self.dispatch.resume_elsewhere(after).await
        }
    }

    /// Continues with the stream of a new target.
    fn set_source(&mut self, head: Head, permit: Permit) {
        log::info!(
            request = self.dispatch.req.id.as_str(), target_id = permit.endpoint().id.as_str(),
            after = self.last_event_id.unwrap_or(0);
            "stream resumed at another target"
        );
        self.source = Some(TargetStream::new(head, permit));
    }

    /// Logs the failure of the stream. The returned error closes the caller's
    /// connection without ending the body.
    fn stream_error(&self, why: &str) -> io::Error {
        self.dispatch.metrics.attempt_failed("stream cut");
        log::warn!(
            request = self.dispatch.req.id.as_str(), after = self.last_event_id.unwrap_or(0),
            left_ms:display = self.dispatch.time_left().as_millis();
            "stream aborted: {why}"
        );
        io::Error::other(why.to_owned())
    }
}
