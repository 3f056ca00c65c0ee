//! The operators' routes.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::IF_MATCH;
use hyper::{HeaderMap, Method, Request, StatusCode};
use serde_json::{Value, json};
use wire::proto::{
    Drain, Evacuate, EvacuationQuery, Forget, LedgerQuery, NoteQuery, Outcome, Pardon,
    QuarantineQuery, QueryReply, StatusQuery, SubmitNote, command, query, query_reply,
};

use crate::{OperatorToken, Problem, Ran, RequestBody, Response, hex, outcomes};

/// Prefix of the operators' routes.
const PREFIX: &str = "/v1/operator/";

/// Maximum size of a request body: 1 MiB, the size limit of a note.
const MAX_BODY_BYTES: usize = 1 << 20;

const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// Length of a fingerprint, which is a SHA-256 digest.
const FINGERPRINT_BYTES: usize = 32;

/// Length of an attempt id, which consists of 128 random bits.
const ATTEMPT_BYTES: usize = 16;

/// Note number that queries the whole catalogue.
const WHOLE_CATALOGUE: u64 = 0;

/// Operator name recorded for requests without one.
const DEFAULT_OPERATOR: &str = "operator";

/// Request header with the operator's name, which is recorded with each note.
const OPERATOR_HEADER: &str = "x-operator";

type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Submits a command to the durable state and returns its outcome.
pub type ProposeFn = Arc<dyn Fn(command::Body) -> BoxFuture<Outcome> + Send + Sync>;

/// Queries the durable state.
pub type QueryFn = Arc<dyn Fn(query::Body) -> BoxFuture<eyre::Result<QueryReply>> + Send + Sync>;

/// Handler for the operators' routes; cheap to clone.
#[derive(Clone)]
pub struct OperatorRoutes {
    token: OperatorToken,
    propose: ProposeFn,
    query: QueryFn,
}

impl OperatorRoutes {
    /// Creates a handler that accesses the durable state through the given functions.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// let routes = admin::OperatorRoutes::new(
    ///     admin::OperatorToken::from_bytes(b"0123456789abcdef").unwrap(),
    ///     Arc::new(|_| Box::pin(async { Default::default() })),
    ///     Arc::new(|_| Box::pin(async { Err(eyre::eyre!("no leader")) })),
    /// );
    /// # drop(routes);
    /// ```
    #[must_use]
    pub fn new(token: OperatorToken, propose: ProposeFn, query: QueryFn) -> Self {
        OperatorRoutes {
            token,
            propose,
            query,
        }
    }

    /// Returns whether a path belongs to the operators' routes.
    ///
    /// ```
    /// assert!(admin::OperatorRoutes::matches("/v1/operator/status"));
    /// assert!(!admin::OperatorRoutes::matches("/v1/addresses"));
    /// ```
    #[must_use]
    pub fn matches(path: &str) -> bool {
        path.starts_with(PREFIX)
    }

    /// Answers a request; `id` is the request id.
    pub async fn handle(&self, req: Request<RequestBody>, id: &str) -> Response {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let result = self.route(req).await;
        let status = result
            .as_ref()
            .map_or_else(|problem| problem.status, Response::status);
        log::info!(request = id; "operator {method} {path} {status}");
        result.unwrap_or_else(|mut problem| {
            problem.request = Some(id.to_owned());
            problem.into_response()
        })
    }

    async fn route(&self, req: Request<RequestBody>) -> Result<Response, Problem> {
        if !self.token.authorizes(req.headers()) {
            return Err(Problem::unauthorized(
                "the operators' token is missing or wrong",
            ));
        }
        let (head, body) = req.into_parts();
        let path = head.uri.path().strip_prefix(PREFIX).unwrap_or_default();
        let segments: Vec<&str> = path.split('/').collect();
        match (&head.method, segments.as_slice()) {
            (&Method::POST, ["notes"]) => self.submit_note(&head.headers, body).await,
            (&Method::GET, ["notes", "status"]) => self.note_status().await,
            (&Method::GET, ["notes", number]) => self.note(number).await,
            (&Method::GET, ["catalogue"]) => self.json_document(note_query(WHOLE_CATALOGUE)).await,
            (&Method::GET, ["status"]) => {
                self.json_document(query::Body::Status(StatusQuery {}))
                    .await
            }
            (&Method::POST, ["targets", name, "drain"]) => self.drain(name, body).await,
            (&Method::GET, ["evacuations"]) => {
                self.json_document(query::Body::Evacuations(EvacuationQuery {}))
                    .await
            }
            (&Method::PUT, ["evacuations", zone]) => self.evacuate(zone, true, &head.headers).await,
            (&Method::DELETE, ["evacuations", zone]) => {
                self.evacuate(zone, false, &head.headers).await
            }
            (&Method::GET, ["quarantine"]) => self.quarantine().await,
            (&Method::DELETE, ["quarantine", fingerprint]) => self.pardon(fingerprint).await,
            (&Method::GET, ["ledger"]) => {
                self.json_document(query::Body::Ledger(LedgerQuery {}))
                    .await
            }
            (&Method::DELETE, ["ledger", attempt]) => self.forget(attempt).await,
            (method, segments) if is_route(segments) => {
                let detail = format!("{method} isn't known here");
                Err(Problem::new(StatusCode::METHOD_NOT_ALLOWED, detail))
            }
            _ => Err(Problem::new(StatusCode::NOT_FOUND, "no such page")),
        }
    }

    async fn submit_note(
        &self,
        headers: &HeaderMap,
        body: RequestBody,
    ) -> Result<Response, Problem> {
        let json = body.read(MAX_BODY_BYTES, BODY_TIMEOUT).await?;
        let operator = headers.get(OPERATOR_HEADER);
        // Names are UTF-8; `to_str` would reject non-ASCII characters.
        let operator = operator.and_then(|name| str::from_utf8(name.as_bytes()).ok());
        let command = command::Body::SubmitNote(SubmitNote {
            json,
            operator: operator.unwrap_or(DEFAULT_OPERATOR).to_owned(),
        });
        outcomes::note((self.propose)(command).await)
    }

    async fn drain(&self, target: &str, body: RequestBody) -> Result<Response, Problem> {
        let json = body.read(MAX_BODY_BYTES, BODY_TIMEOUT).await?;
        let draining = read_draining(&json)?;
        let command = command::Body::Drain(Drain {
            target: target.to_owned(),
            draining,
        });
        outcomes::drain((self.propose)(command).await, target)
    }

    async fn evacuate(
        &self,
        zone: &str,
        active: bool,
        headers: &HeaderMap,
    ) -> Result<Response, Problem> {
        let command = command::Body::Evacuate(Evacuate {
            zone: zone.to_owned(),
            active,
            seen: read_if_match(headers)?,
        });
        outcomes::evacuate((self.propose)(command).await, zone)
    }

    async fn pardon(&self, fingerprint: &str) -> Result<Response, Problem> {
        let bytes = hex::decode(fingerprint);
        let Some(bytes) = bytes.filter(|bytes| bytes.len() == FINGERPRINT_BYTES) else {
            let detail = "a fingerprint is written in 64 hexadecimal digits";
            return Err(Problem::new(StatusCode::BAD_REQUEST, detail));
        };
        let command = command::Body::Pardon(Pardon {
            fingerprint: bytes.into(),
        });
        outcomes::pardon((self.propose)(command).await, fingerprint)
    }

    async fn forget(&self, attempt: &str) -> Result<Response, Problem> {
        let bytes = hex::decode(attempt);
        let Some(bytes) = bytes.filter(|bytes| bytes.len() == ATTEMPT_BYTES) else {
            let detail = "an attempt is written in 32 hexadecimal digits";
            return Err(Problem::new(StatusCode::BAD_REQUEST, detail));
        };
        let command = command::Body::Forget(Forget {
            attempt: bytes.into(),
        });
        outcomes::forget((self.propose)(command).await, attempt)
    }

    async fn note(&self, number: &str) -> Result<Response, Problem> {
        let number = number.parse().ok().filter(|number| *number > 0);
        let Some(number) = number else {
            let detail = "the number of a note is a whole number above 0";
            return Err(Problem::new(StatusCode::BAD_REQUEST, detail));
        };
        self.json_document(note_query(number)).await
    }

    async fn quarantine(&self) -> Result<Response, Problem> {
        let body = query::Body::Quarantine(QuarantineQuery {});
        let Some(query_reply::Body::Quarantine(quarantine)) = self.run_query(body).await? else {
            return Err(unexpected_reply());
        };
        let encode_all = |fingerprints: &[Bytes]| -> Vec<String> {
            fingerprints
                .iter()
                .map(|bytes| hex::encode(bytes))
                .collect()
        };
        let answer = json!({
            "version": quarantine.version,
            "suspects": encode_all(&quarantine.suspects),
            "convicted": encode_all(&quarantine.convicted),
        });
        Ok(crate::json(StatusCode::OK, answer.to_string()))
    }

    /// Returns the member `notes` of the status document.
    async fn note_status(&self) -> Result<Response, Problem> {
        let status = self.read_json(query::Body::Status(StatusQuery {})).await?;
        let status: Value = serde_json::from_slice(&status).map_err(|_| unexpected_reply())?;
        let notes = status.get("notes").ok_or_else(unexpected_reply)?;
        Ok(crate::json(StatusCode::OK, notes.to_string()))
    }

    async fn json_document(&self, body: query::Body) -> Result<Response, Problem> {
        let json = self.read_json(body).await?;
        Ok(crate::json(StatusCode::OK, json))
    }

    /// Queries a JSON document. An empty reply means that the document does not exist.
    async fn read_json(&self, body: query::Body) -> Result<Bytes, Problem> {
        match self.run_query(body).await? {
            Some(query_reply::Body::Json(json)) if json.is_empty() => Err(Problem::new(
                StatusCode::NOT_FOUND,
                "that isn't known, or no longer kept",
            )),
            Some(query_reply::Body::Json(json)) => Ok(json),
            _ => Err(unexpected_reply()),
        }
    }

    async fn run_query(&self, body: query::Body) -> Result<Option<query_reply::Body>, Problem> {
        match (self.query)(body).await {
            Ok(reply) => Ok(reply.body),
            Err(error) => {
                let mut problem = Problem::new(
                    StatusCode::SERVICE_UNAVAILABLE,
                    format!("control can't answer now: {error}"),
                );
                problem.retry_after = Some(outcomes::RETRY_AFTER);
                Err(problem)
            }
        }
    }
}

fn note_query(number: u64) -> query::Body {
    query::Body::Note(NoteQuery { number })
}

fn is_route(segments: &[&str]) -> bool {
    matches!(
        segments,
        ["notes" | "catalogue" | "status" | "quarantine" | "ledger" | "evacuations"]
            | ["notes" | "quarantine" | "ledger" | "evacuations", _]
            | ["targets", _, "drain"]
    )
}

/// Reads the number that `If-Match` names, if there is one (RFC 9110, section 13.1.1).
fn read_if_match(headers: &HeaderMap) -> Result<Option<u64>, Problem> {
    let Some(value) = headers.get(IF_MATCH) else {
        return Ok(None);
    };
    let quoted = value.to_str().ok().and_then(|value| {
        let value = value.strip_prefix('"')?.strip_suffix('"')?;
        value.parse().ok()
    });
    let detail = "expected a quoted number in If-Match";
    let number = quoted.ok_or_else(|| Problem::new(StatusCode::BAD_REQUEST, detail))?;
    Ok(Some(number))
}

fn read_draining(json: &[u8]) -> Result<bool, Problem> {
    let malformed = |detail: String| Problem::new(StatusCode::BAD_REQUEST, detail);
    let body: Value = serde_json::from_slice(json)
        .map_err(|error| malformed(format!("malformed JSON: {error}")))?;
    let draining = body.get("draining").and_then(Value::as_bool);
    draining.ok_or_else(|| malformed("expected true or false at draining".to_owned()))
}

fn unexpected_reply() -> Problem {
    let detail = "control gave an answer of another kind";
    let mut problem = Problem::new(StatusCode::BAD_GATEWAY, detail);
    problem.ran = Ran::Unknown;
    problem
}
