//! Passes a stream on, and goes on elsewhere when its target is lost.

use crate::dispatch::Dispatch;
use crate::events::Events;
use crate::exchange::Head;
use crate::permit::Permit;
use crate::target_response::TargetResponse;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use outlet::Connection;
use route::Outcome;
use std::io;
use std::time::Instant;
use table::Kind;
use tokio::time::timeout;

/// A stream on its way to the caller.
struct Relay {
    dispatch: Dispatch,
    /// None once the target's part is over.
    source: Option<Source>,
    events: Events,
    /// Last event that the caller has.
    last: Option<u64>,
}

/// Where the events come from now. Dropping it closes the connection, and so
/// tells the target to stop.
struct Source {
    body: Incoming,
    conn: Connection,
    reading: crate::ResponseInfo,
    permit: Permit,
    /// When its last events came.
    heard: Option<Instant>,
}

impl Source {
    /// Learns from the pause before the events that have come.
    fn heard(&mut self, kind: Kind) {
        let now = Instant::now();
        let before = self.heard.replace(now);
        if let (
            Some(before),
            Kind::Stream {
                pause: Some(most), ..
            },
        ) = (before, kind)
        {
            self.permit.paused(now - before, most, now);
        }
    }
}

/// What comes next of a stream.
enum Next {
    Data(Bytes),
    Ended,
    Broken(String),
}

/// The answer whose body passes a target's events on as they come.
pub(crate) fn relay(dispatch: Dispatch, head: Head, permit: Permit) -> TargetResponse {
    let (status, headers) = (head.status, head.headers);
    let relay = Relay {
        last: dispatch.req.last_event_id,
        source: Some(Source {
            body: head.body,
            conn: head.conn,
            reading: head.reading,
            permit,
            heard: None,
        }),
        events: Events::default(),
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
    }
}

impl Relay {
    /// The next events; none once the stream has ended as a whole.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(event) = self.event() {
                return Ok(Some(event));
            }
            self.leave_slow_target().await?;
            match self.read().await {
                Next::Data(data) => {
                    if !self.events.push(&data) {
                        return Err(self.broken_off("an event is too long"));
                    }
                }
                Next::Ended => return Ok(self.finish()),
                Next::Broken(why) => self.go_on(&why).await?,
            }
        }
    }

    /// All whole events that are here, in one piece.
    fn event(&mut self) -> Option<Bytes> {
        let mut all: Option<Vec<u8>> = None;
        let mut first = None;
        while let Some(event) = self.events.next() {
            if let (Some(id), Some(last)) = (event.id, self.last)
                && id <= last
            {
                // The caller has it from the target before.
                continue;
            }
            self.last = event.id.or(self.last);
            match (&mut all, first.take()) {
                (Some(all), _) => all.extend_from_slice(&event.bytes),
                (None, None) => first = Some(event.bytes),
                (None, Some(before)) => {
                    let mut joined = Vec::from(before);
                    joined.extend_from_slice(&event.bytes);
                    all = Some(joined);
                }
            }
        }
        all.map(Bytes::from).or(first)
    }

    async fn read(&mut self) -> Next {
        let left = self.dispatch.left();
        let silence = if self.can_go_on() {
            self.dispatch.timing.inactivity.min(left)
        } else {
            left
        };
        let Some(source) = &mut self.source else {
            return Next::Ended;
        };
        loop {
            match timeout(silence, source.body.frame()).await {
                Ok(None) => return Next::Ended,
                Ok(Some(Err(e))) => return Next::Broken(e.to_string()),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        source.heard(self.dispatch.kind);
                        return Next::Data(data);
                    }
                }
                Err(_) => return Next::Broken("silent for too long".to_owned()),
            }
        }
    }

    /// The target has ended the stream.
    fn finish(&mut self) -> Option<Bytes> {
        let Source {
            conn,
            reading,
            permit,
            ..
        } = self.source.take()?;
        crate::service_targets::keep(permit.endpoint(), conn, &reading, &self.dispatch.timing);
        permit.ended(Outcome::Answered);
        if self.events.is_between() {
            return None;
        }
        // What is no event ends the stream as the target ended it.
        Some(self.events.rest())
    }

    fn can_go_on(&self) -> bool {
        self.dispatch.kind.repeats()
    }

    /// Moves to another target if that of the stream is so slow that it delays
    /// the streams of all.
    async fn leave_slow_target(&mut self) -> io::Result<()> {
        let Some(source) = &self.source else {
            return Ok(());
        };
        let Some(place) = self.dispatch.place_to_move(&source.permit) else {
            return Ok(());
        };
        let why = "the target is slow";
        self.dispatch.log_miss(&source.permit, "stream moved", why);
        self.source = None;
        self.events.clear();
        match self.dispatch.resume(place, self.last).await {
            Some((head, permit)) => {
                self.resumed(head, permit);
                Ok(())
            }
            None => self.go_on(why).await,
        }
    }

    /// Goes on at another target after the last event that the caller has.
    async fn go_on(&mut self, why: &str) -> io::Result<()> {
        if let Some(source) = self.source.take() {
            self.dispatch.log_miss(&source.permit, "stream broken", why);
            source.permit.ended(Outcome::Failed);
        }
        if !self.can_go_on() {
            return Err(self.broken_off(why));
        }
        self.events.clear();
        let Some((head, permit)) = self.dispatch.go_on(self.last).await else {
            return Err(self.broken_off(why));
        };
        self.resumed(head, permit);
        Ok(())
    }

    fn resumed(&mut self, head: Head, permit: Permit) {
        log::info!(
            request = self.dispatch.req.id.as_str(), target_id = permit.endpoint().id.as_str(),
            after = self.last.unwrap_or(0);
            "stream goes on at another target"
        );
        self.source = Some(Source {
            body: head.body,
            conn: head.conn,
            reading: head.reading,
            permit,
            heard: None,
        });
    }

    /// The caller's connection ends without the mark of a whole answer.
    fn broken_off(&self, why: &str) -> io::Error {
        self.dispatch.metrics.miss("stream cut");
        log::warn!(
            request = self.dispatch.req.id.as_str(), after = self.last.unwrap_or(0),
            left_ms:display = self.dispatch.left().as_millis();
            "stream broken off: {why}"
        );
        io::Error::other(why.to_owned())
    }
}
