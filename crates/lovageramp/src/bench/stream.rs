//! Reading a streamed answer.

use std::net::SocketAddr;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::outcome::{Ending, Outcome};
use super::sse_parser::SseParser;

/// Data of the event that ends a whole stream.
const DONE: &str = "[DONE]";

/// A streamed answer as it comes.
pub(super) struct Stream<'a> {
    pub(super) outcome: &'a mut Outcome,
    /// Who sends it.
    pub(super) host: SocketAddr,
    /// The id that each event of it should have.
    pub(super) id: String,
    /// Tokens that it should have.
    pub(super) tokens: u32,
    /// When the load began.
    pub(super) began: Instant,
}

impl Stream<'_> {
    /// Reads to the end; the outcome then says whether the answer was whole.
    pub(super) async fn read(mut self, mut body: Incoming) {
        self.outcome.ending = Ending::Broken;
        let mut events = SseParser::default();
        let (mut tokens, mut last) = (0, Instant::now());
        let mut how = "ended without [DONE]";
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                how = "was broken off";
                break;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            events.push(&data);
            for event in events.by_ref() {
                if event == DONE {
                    how = "has other events than it should";
                    if tokens == self.tokens && self.outcome.foreign == 0 {
                        self.outcome.ending = Ending::Done;
                    }
                } else if self.is_token(&event) {
                    tokens += 1;
                    self.time(last);
                    last = Instant::now();
                }
            }
        }
        if self.outcome.ending != Ending::Done {
            self.outcome.detail = Some(format!("a stream of {} {how}", self.host));
        }
    }

    /// Whether an event carries a token; one of another answer is counted.
    fn is_token(&mut self, event: &str) -> bool {
        let event: Value = serde_json::from_str(event).unwrap_or_default();
        let foreign = event["id"].as_str().is_some_and(|id| id != self.id);
        self.outcome.foreign += u64::from(foreign);
        !event["choices"][0]["delta"]["content"].is_null()
    }

    fn time(&mut self, last: Instant) {
        if self.outcome.first.is_some() {
            self.outcome.gaps.push(last.elapsed());
            return;
        }
        let since = self.began.elapsed();
        self.outcome.first = Some(since.saturating_sub(self.outcome.planned));
    }
}
