//! Reads and checks a streamed response.

use std::net::SocketAddr;
use std::time::Instant;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::Value;

use super::outcome::{Outcome, OutcomeStatus};
use super::sse_parser::SseParser;

/// Data of the event that ends a complete stream.
const END_OF_STREAM: &str = "[DONE]";

/// Reads a streamed response into an outcome.
pub(super) struct StreamReader<'a> {
    pub(super) outcome: &'a mut Outcome,
    /// Entry that sends the stream.
    pub(super) host: SocketAddr,
    /// Expected ID of each event.
    pub(super) expected_id: String,
    /// Expected number of tokens.
    pub(super) expected_tokens: u32,
    /// Start of the load.
    pub(super) started: Instant,
}

impl StreamReader<'_> {
    /// Reads the stream to its end and sets the status of the outcome.
    pub(super) async fn read(mut self, mut body: Incoming) {
        self.outcome.status = OutcomeStatus::Broken;
        let mut parser = SseParser::default();
        let (mut tokens, mut last_token) = (0, Instant::now());
        let mut fault = "ended without [DONE]";
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                fault = "was aborted";
                break;
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            parser.push(&data);
            for event in parser.by_ref() {
                if event == END_OF_STREAM {
                    fault = "has unexpected events";
                    if tokens == self.expected_tokens && self.outcome.foreign_events == 0 {
                        self.outcome.status = OutcomeStatus::Done;
                    }
                } else if self.is_token(&event) {
                    tokens += 1;
                    self.record_token(last_token);
                    last_token = Instant::now();
                }
            }
        }
        if self.outcome.status != OutcomeStatus::Done {
            self.outcome.detail = Some(format!("stream from {} {fault}", self.host));
        }
    }

    /// Whether an event carries a token. Also counts events of other responses.
    fn is_token(&mut self, event: &str) -> bool {
        let event: Value = serde_json::from_str(event).unwrap_or_default();
        let is_foreign = event["id"]
            .as_str()
            .is_some_and(|id| id != self.expected_id);
        self.outcome.foreign_events += u64::from(is_foreign);
        !event["choices"][0]["delta"]["content"].is_null()
    }

    fn record_token(&mut self, last_token: Instant) {
        if self.outcome.latency.is_some() {
            self.outcome.token_gaps.push(last_token.elapsed());
            return;
        }
        let elapsed = self.started.elapsed();
        self.outcome.latency = Some(elapsed.saturating_sub(self.outcome.planned_at));
    }
}
