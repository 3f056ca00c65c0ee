//! One caller, who sends one planned request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Collected};
use hyper::Method;
use serde_json::Value;
use sha2::{Digest, Sha256};

use super::account::Account;
use super::directory::Directory;
use super::http::{Client, PATIENCE, Sent, Whole};
use super::outcome::{Ending, Kind, Outcome};
use super::stream::Stream;
use super::{Call, PlannedRequest, Resend};

/// Addresses that a caller tries before it gives up on a connection.
const ADDRESSES: usize = 8;

/// How long a caller goes on resending a non-repeatable call that has no
/// final answer.
const RESEND_FOR: Duration = Duration::from_secs(40);

/// Pause between two sends, at most.
const RESEND_PAUSE: Duration = Duration::from_secs(1);

/// What all callers share; cheap to clone.
#[derive(Clone)]
pub(super) struct Callers {
    pub(super) client: Client,
    pub(super) directory: Arc<Directory>,
    pub(super) accounts: Arc<Vec<Account>>,
    /// When the load began.
    pub(super) began: Instant,
}

/// One answer to a call, or why there is none.
enum Answer {
    /// A final answer.
    Final(Whole),
    /// It did not run.
    NotRun(String),
    /// It may have run, and asking again makes sense.
    Open(String, Duration),
    /// Nobody can learn whether it ran.
    Unknown(String),
}

impl Callers {
    /// Sends a planned request; `turn` says with which address to begin.
    pub(super) async fn send(self, planned: PlannedRequest, turn: usize) -> Outcome {
        self.directory.refresh(&self.client, Instant::now()).await;
        let key = self.accounts.get(planned.account);
        let bearer = format!("Bearer {}", key.map_or("", |account| &account.key));
        let at = planned.send_after;
        match planned.call {
            Call::Chat { body, tokens } => self.chat(at, turn, &bearer, body, tokens).await,
            Call::Read { path } => self.read(at, turn, &bearer, &path).await,
            Call::Write {
                path,
                key,
                body,
                resend,
            } => {
                let write = Write {
                    callers: &self,
                    bearer: &bearer,
                    path: &path,
                    key: &key,
                    body,
                };
                write.run(at, turn, resend).await
            }
        }
    }

    /// Time since the planned one, the wait before the send included.
    fn since(&self, planned: Duration) -> Duration {
        self.began.elapsed().saturating_sub(planned)
    }

    /// An address that takes the connection: callers go down their list.
    async fn next_address(&self, turn: &mut usize) -> SocketAddr {
        *turn += 1;
        self.directory.doubt(&self.client, Instant::now()).await;
        self.directory.address(*turn)
    }

    async fn chat(
        &self,
        planned: Duration,
        mut turn: usize,
        bearer: &str,
        body: Bytes,
        tokens: u32,
    ) -> Outcome {
        let mut outcome = Outcome::new(Kind::Chat, planned);
        let headers = [
            ("authorization", bearer),
            ("content-type", "application/json"),
        ];
        let mut host = self.directory.address(turn);
        for _ in 0..ADDRESSES {
            let path = "/v1/chat/completions";
            let sent = self
                .client
                .open(host, Method::POST, path, &headers, body.clone());
            match sent.await {
                Sent::Nothing(why) => {
                    outcome.detail = Some(why);
                    host = self.next_address(&mut turn).await;
                }
                Sent::Lost(why) => {
                    outcome.detail = Some(why);
                    return outcome;
                }
                Sent::Answered(response) if response.status() == 200 => {
                    let stream = Stream {
                        outcome: &mut outcome,
                        host,
                        id: answer_id(&body),
                        tokens,
                        began: self.began,
                    };
                    let read = stream.read(response.into_body());
                    if tokio::time::timeout(PATIENCE, read).await.is_err() {
                        outcome.detail = Some(format!("a stream of {host} did not end"));
                    }
                    return outcome;
                }
                Sent::Answered(response) => {
                    let status = response.status().as_u16();
                    let problem = response.into_body().collect().await;
                    let problem = problem.map(Collected::to_bytes).unwrap_or_default();
                    refused(&mut outcome, status, &problem);
                    return outcome;
                }
            }
        }
        outcome
    }

    async fn read(&self, planned: Duration, mut turn: usize, bearer: &str, path: &str) -> Outcome {
        let mut outcome = Outcome::new(Kind::Read, planned);
        let headers = [("authorization", bearer)];
        let mut host = self.directory.address(turn);
        for _ in 0..ADDRESSES {
            let sent = self
                .client
                .whole(host, Method::GET, path, &headers, Bytes::new());
            match sent.await {
                Sent::Nothing(why) => {
                    outcome.detail = Some(why);
                    host = self.next_address(&mut turn).await;
                }
                Sent::Lost(why) => {
                    outcome.detail = Some(why);
                    return outcome;
                }
                Sent::Answered(answer) if answer.status == 200 => {
                    outcome.ending = Ending::Done;
                    outcome.first = Some(self.since(planned));
                    return outcome;
                }
                Sent::Answered(answer) => {
                    refused(&mut outcome, answer.status, &answer.body);
                    return outcome;
                }
            }
        }
        outcome
    }
}

/// A caller of a non-repeatable call.
struct Write<'a> {
    callers: &'a Callers,
    bearer: &'a str,
    path: &'a str,
    key: &'a str,
    body: Bytes,
}

impl Write<'_> {
    async fn run(&self, planned: Duration, turn: usize, resend: Resend) -> Outcome {
        let kind = match resend {
            Resend::Concurrent => Kind::Raced,
            Resend::Never | Resend::AfterAnswer => Kind::Write,
        };
        let mut outcome = Outcome::new(kind, planned);
        outcome.key = Some(self.key.to_owned());
        let first = match resend {
            Resend::Concurrent => {
                let (one, other) = tokio::join!(self.settle(turn), self.settle(turn + 1));
                outcome.differing += u64::from(differ(&one, &other));
                one
            }
            Resend::Never | Resend::AfterAnswer => self.settle(turn).await,
        };
        if matches!(first, Answer::Final(_)) {
            outcome.first = Some(self.callers.since(planned));
        }
        if resend == Resend::AfterAnswer {
            let again = self.settle(turn + 1).await;
            outcome.differing += u64::from(differ(&first, &again));
        }
        outcome.ending = match &first {
            Answer::Final(_) => Ending::Done,
            Answer::NotRun(_) => Ending::Refused,
            Answer::Open(..) | Answer::Unknown(_) => Ending::Unknown,
        };
        outcome.detail = match first {
            Answer::Final(_) => None,
            Answer::NotRun(why) | Answer::Open(why, _) | Answer::Unknown(why) => Some(why),
        };
        outcome
    }

    /// Sends the call until there is a final answer, or patience is over.
    async fn settle(&self, mut turn: usize) -> Answer {
        let deadline = Instant::now() + RESEND_FOR;
        let mut host = self.callers.directory.address(turn);
        let mut sent_once = false;
        loop {
            let answer = self.send(host).await;
            let (why, pause) = match answer {
                Ok(Answer::Open(why, pause)) => {
                    sent_once = true;
                    (why, pause)
                }
                // What was told before may have run stays open: only a final
                // answer to the key settles it.
                Ok(Answer::NotRun(why)) if sent_once => (why, RESEND_PAUSE),
                Ok(settled) => return settled,
                Err(why) => (why, Duration::ZERO),
            };
            if Instant::now() >= deadline {
                return if sent_once {
                    Answer::Open(why, pause)
                } else {
                    Answer::NotRun(why)
                };
            }
            tokio::time::sleep(pause.min(RESEND_PAUSE)).await;
            host = self.callers.next_address(&mut turn).await;
        }
    }

    /// One send; an error when nothing was sent.
    async fn send(&self, host: SocketAddr) -> Result<Answer, String> {
        let headers = [
            ("authorization", self.bearer),
            ("content-type", "application/json"),
            ("idempotency-key", self.key),
        ];
        let client = &self.callers.client;
        let sent = client.whole(host, Method::POST, self.path, &headers, self.body.clone());
        let answer = match sent.await {
            Sent::Nothing(why) => return Err(why),
            Sent::Lost(why) => return Ok(Answer::Open(why, RESEND_PAUSE)),
            Sent::Answered(answer) => answer,
        };
        let problem: Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let why = format!("{} {}", answer.status, problem["detail"]);
        Ok(match (problem["ran"].as_str(), answer.retry_after) {
            (Some("no"), _) => Answer::NotRun(why),
            (Some(_), Some(pause)) => Answer::Open(why, pause),
            (Some(_), None) => Answer::Unknown(why),
            // An answer of the service itself.
            (None, _) => Answer::Final(answer),
        })
    }
}

/// Whether two answers to one key can't both be right.
fn differ(one: &Answer, other: &Answer) -> bool {
    match (one, other) {
        (Answer::Final(one), Answer::Final(other)) => {
            one.status != other.status || one.body != other.body
        }
        _ => false,
    }
}

fn refused(outcome: &mut Outcome, status: u16, problem: &[u8]) {
    let problem: Value = serde_json::from_slice(problem).unwrap_or_default();
    outcome.ending = match problem["ran"].as_str() {
        Some("no") => Ending::Refused,
        _ => Ending::Failed,
    };
    outcome.detail = Some(format!("{status} {}", problem["detail"]));
}

/// The id that the fake engine gives its answer to a request, which follows
/// from the request's body.
fn answer_id(body: &[u8]) -> String {
    let digest = Sha256::digest(body);
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    format!("chatcmpl-{:016x}", u64::from_be_bytes(first))
}
