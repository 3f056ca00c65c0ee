//! Sends one planned request as a caller would.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Collected};
use hyper::Method;
use serde_json::Value;
use sha2::{Digest, Sha256};

use super::account::Account;
use super::address_list::AddressList;
use super::http::{Client, FullResponse, RESPONSE_TIMEOUT, SendResult};
use super::outcome::{Outcome, OutcomeStatus, RequestKind};
use super::stream_reader::StreamReader;
use super::{Call, PlannedRequest, Resend};

/// Most addresses tried by a caller for one connection.
const MAX_CONNECT_ATTEMPTS: usize = 8;

/// Time for which a caller resends a non-repeatable call without a final
/// response.
const RESEND_TIMEOUT: Duration = Duration::from_secs(40);

/// Longest delay before a resend.
const MAX_RESEND_DELAY: Duration = Duration::from_secs(1);

/// State shared by all callers; cheap to clone.
#[derive(Clone)]
pub(super) struct CallerContext {
    pub(super) client: Client,
    pub(super) addresses: Arc<AddressList>,
    pub(super) accounts: Arc<Vec<Account>>,
    /// Start of the load.
    pub(super) started: Instant,
}

/// Result of one attempt at a non-repeatable call.
enum CallResult {
    /// A final response.
    Final(FullResponse),
    /// The call did not run; with the reason.
    NotRun(String),
    /// The call may have run; a resend may return the final response. With the
    /// reason and the delay before the resend.
    Unsettled(String, Duration),
    /// It is not known, and can't be found out, whether the call ran.
    Unknown(String),
}

impl CallerContext {
    /// Sends a planned request; `index` selects the address that is tried first.
    pub(super) async fn send(self, planned: PlannedRequest, index: usize) -> Outcome {
        self.addresses.refresh(&self.client, Instant::now()).await;
        let account = self.accounts.get(planned.account);
        let bearer = format!("Bearer {}", account.map_or("", |account| &account.key));
        let planned_at = planned.send_after;
        match planned.call {
            Call::Chat { body, tokens } => {
                self.chat(planned_at, index, &bearer, body, tokens).await
            }
            Call::Read { path } => self.read(planned_at, index, &bearer, &path).await,
            Call::Write {
                path,
                key,
                body,
                resend,
            } => {
                let call = NonRepeatableCall {
                    callers: &self,
                    bearer: &bearer,
                    path: &path,
                    key: &key,
                    body,
                };
                call.run(planned_at, index, resend).await
            }
        }
    }

    /// Time since the planned send time, including any delay before the send.
    fn latency(&self, planned_at: Duration) -> Duration {
        self.started.elapsed().saturating_sub(planned_at)
    }

    /// Returns the next address of the list after a failed connection.
    async fn next_address(&self, index: &mut usize) -> SocketAddr {
        *index += 1;
        self.addresses
            .refresh_after_failure(&self.client, Instant::now())
            .await;
        self.addresses.address(*index)
    }

    async fn chat(
        &self,
        planned_at: Duration,
        mut index: usize,
        bearer: &str,
        body: Bytes,
        tokens: u32,
    ) -> Outcome {
        let mut outcome = Outcome::new(RequestKind::Chat, planned_at);
        let headers = [
            ("authorization", bearer),
            ("content-type", "application/json"),
        ];
        let mut host = self.addresses.address(index);
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let path = "/v1/chat/completions";
            let sent =
                self.client
                    .request_streamed(host, Method::POST, path, &headers, body.clone());
            match sent.await {
                SendResult::NotSent(reason) => {
                    outcome.detail = Some(reason);
                    host = self.next_address(&mut index).await;
                }
                SendResult::NoResponse(reason) => {
                    outcome.detail = Some(reason);
                    return outcome;
                }
                SendResult::Response(response) if response.status() == 200 => {
                    let stream = StreamReader {
                        outcome: &mut outcome,
                        host,
                        expected_id: expected_response_id(&body),
                        expected_tokens: tokens,
                        started: self.started,
                    };
                    let read = stream.read(response.into_body());
                    if tokio::time::timeout(RESPONSE_TIMEOUT, read).await.is_err() {
                        outcome.detail = Some(format!("stream from {host} did not end in time"));
                    }
                    return outcome;
                }
                SendResult::Response(response) => {
                    let status = response.status().as_u16();
                    let problem = response.into_body().collect().await;
                    let problem = problem.map(Collected::to_bytes).unwrap_or_default();
                    set_refusal(&mut outcome, status, &problem);
                    return outcome;
                }
            }
        }
        outcome
    }

    async fn read(
        &self,
        planned_at: Duration,
        mut index: usize,
        bearer: &str,
        path: &str,
    ) -> Outcome {
        let mut outcome = Outcome::new(RequestKind::Read, planned_at);
        let headers = [("authorization", bearer)];
        let mut host = self.addresses.address(index);
        for _ in 0..MAX_CONNECT_ATTEMPTS {
            let sent = self
                .client
                .request(host, Method::GET, path, &headers, Bytes::new());
            match sent.await {
                SendResult::NotSent(reason) => {
                    outcome.detail = Some(reason);
                    host = self.next_address(&mut index).await;
                }
                SendResult::NoResponse(reason) => {
                    outcome.detail = Some(reason);
                    return outcome;
                }
                SendResult::Response(response) if response.status == 200 => {
                    outcome.status = OutcomeStatus::Done;
                    outcome.latency = Some(self.latency(planned_at));
                    return outcome;
                }
                SendResult::Response(response) => {
                    set_refusal(&mut outcome, response.status, &response.body);
                    return outcome;
                }
            }
        }
        outcome
    }
}

/// A non-repeatable call and its caller.
struct NonRepeatableCall<'a> {
    callers: &'a CallerContext,
    bearer: &'a str,
    path: &'a str,
    key: &'a str,
    body: Bytes,
}

impl NonRepeatableCall<'_> {
    async fn run(&self, planned_at: Duration, index: usize, resend: Resend) -> Outcome {
        let kind = match resend {
            Resend::Concurrent => RequestKind::Raced,
            Resend::Never | Resend::AfterAnswer => RequestKind::Write,
        };
        let mut outcome = Outcome::new(kind, planned_at);
        outcome.key = Some(self.key.to_owned());
        let first = match resend {
            Resend::Concurrent => {
                let (one, other) = tokio::join!(
                    self.call_until_final(index),
                    self.call_until_final(index + 1)
                );
                outcome.differing_responses += u64::from(differ(&one, &other));
                one
            }
            Resend::Never | Resend::AfterAnswer => self.call_until_final(index).await,
        };
        if matches!(first, CallResult::Final(_)) {
            outcome.latency = Some(self.callers.latency(planned_at));
        }
        if resend == Resend::AfterAnswer {
            let again = self.call_until_final(index + 1).await;
            outcome.differing_responses += u64::from(differ(&first, &again));
        }
        outcome.status = match &first {
            CallResult::Final(_) => OutcomeStatus::Done,
            CallResult::NotRun(_) => OutcomeStatus::Refused,
            CallResult::Unsettled(..) | CallResult::Unknown(_) => OutcomeStatus::Unknown,
        };
        outcome.detail = match first {
            CallResult::Final(_) => None,
            CallResult::NotRun(reason)
            | CallResult::Unsettled(reason, _)
            | CallResult::Unknown(reason) => Some(reason),
        };
        outcome
    }

    /// Sends the call until there is a final result or [`RESEND_TIMEOUT`] has passed.
    async fn call_until_final(&self, mut index: usize) -> CallResult {
        let deadline = Instant::now() + RESEND_TIMEOUT;
        let mut host = self.callers.addresses.address(index);
        let mut may_have_run = false;
        loop {
            let response = self.send_once(host).await;
            let (reason, delay) = match response {
                Ok(CallResult::Unsettled(reason, delay)) => {
                    may_have_run = true;
                    (reason, delay)
                }
                // An earlier attempt may have run, so only a final response for
                // the key settles the call.
                Ok(CallResult::NotRun(reason)) if may_have_run => (reason, MAX_RESEND_DELAY),
                Ok(result) => return result,
                Err(reason) => (reason, Duration::ZERO),
            };
            if Instant::now() >= deadline {
                return if may_have_run {
                    CallResult::Unsettled(reason, delay)
                } else {
                    CallResult::NotRun(reason)
                };
            }
            tokio::time::sleep(delay.min(MAX_RESEND_DELAY)).await;
            host = self.callers.next_address(&mut index).await;
        }
    }

    /// Sends the call once. Returns an error if nothing was sent.
    async fn send_once(&self, host: SocketAddr) -> Result<CallResult, String> {
        let headers = [
            ("authorization", self.bearer),
            ("content-type", "application/json"),
            ("idempotency-key", self.key),
        ];
        let client = &self.callers.client;
        let result = client.request(host, Method::POST, self.path, &headers, self.body.clone());
        let response = match result.await {
            SendResult::NotSent(reason) => return Err(reason),
            SendResult::NoResponse(reason) => {
                return Ok(CallResult::Unsettled(reason, MAX_RESEND_DELAY));
            }
            SendResult::Response(response) => response,
        };
        let problem: Value = serde_json::from_slice(&response.body).unwrap_or_default();
        let reason = format!("{} {}", response.status, problem["detail"]);
        Ok(match (problem["ran"].as_str(), response.retry_after) {
            (Some("no"), _) => CallResult::NotRun(reason),
            (Some(_), Some(delay)) => CallResult::Unsettled(reason, delay),
            (Some(_), None) => CallResult::Unknown(reason),
            // A response of the service itself.
            (None, _) => CallResult::Final(response),
        })
    }
}

/// Whether two responses for the same key conflict.
fn differ(one: &CallResult, other: &CallResult) -> bool {
    match (one, other) {
        (CallResult::Final(one), CallResult::Final(other)) => {
            one.status != other.status || one.body != other.body
        }
        _ => false,
    }
}

fn set_refusal(outcome: &mut Outcome, http_status: u16, problem: &[u8]) {
    let problem: Value = serde_json::from_slice(problem).unwrap_or_default();
    outcome.status = match problem["ran"].as_str() {
        Some("no") => OutcomeStatus::Refused,
        _ => OutcomeStatus::Failed,
    };
    outcome.detail = Some(format!("{http_status} {}", problem["detail"]));
}

/// ID that the fake engine gives its response, derived from the request body.
fn expected_response_id(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    format!("chatcmpl-{:016x}", u64::from_be_bytes(first))
}
