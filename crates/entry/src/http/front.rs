//! What callers can ask of an entry.

use std::sync::Arc;
use std::time::Instant;

use admin::{MonitoringRoutes, OperatorRoutes, Problem, Response, read_body};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, StatusCode};
use note::Account;
use route::{Fingerprint, Suspicion};
use sha2::{Digest, Sha256};
use tracing::Instrument;

use super::chat::{Chat, tokens, unknown};
use super::{addresses, auth, headers, reply, service};
use crate::Settings;
use crate::job::Job;
use crate::metrics::{Reason, Status};
use crate::placement::{Permit, Record};
use crate::pool_name::PoolName;
use crate::work::{Course, Cx, OnceJob, convicted, refuse_once, run_once, run_stream, run_whole};

/// Answers callers and operators; clones share everything.
#[derive(Clone)]
pub(crate) struct Front {
    pub(crate) settings: Arc<Settings>,
    pub(crate) cx: Cx,
    pub(crate) pages: MonitoringRoutes,
    pub(crate) operators: Option<OperatorRoutes>,
}

/// A request whose caller is known.
struct Asked {
    id: String,
    arrived: Instant,
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
    account: Account,
    traceparent: String,
}

impl Front {
    /// Answers one request.
    pub(crate) async fn handle(self, req: Request<Incoming>) -> Response {
        let path = req.uri().path();
        if let Some(page) = self.pages.answer(req.method(), path) {
            return page;
        }
        let id = format!("{:032x}", rand::random::<u128>());
        if OperatorRoutes::matches(path) {
            return self.operate(req, &id).await;
        }
        if path == "/v1/addresses" {
            return self.addresses(&req);
        }
        let span = tracing::info_span!("request", request = %id);
        trace::set_parent(&span, &headers::traceparent(req.headers()));
        let arrived = Instant::now();
        let open = &self.cx.metrics.open_requests;
        open.inc();
        let _closing = Closing(open.clone());
        let answered = self.ask(req, &id, arrived).instrument(span).await;
        let mut response = answered.unwrap_or_else(|mut problem| {
            problem.request = Some(id.clone());
            let status = problem.status.as_u16();
            log::info!(request = id.as_str(), status = status; "{}", problem.detail);
            problem.into_response()
        });
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", id);
        }
        self.count(&response, arrived);
        let status = response.status().as_u16();
        log::debug!(request = id.as_str(), status = status; "answered");
        response
    }

    async fn operate(&self, req: Request<Incoming>, id: &str) -> Response {
        let Some(operators) = &self.operators else {
            let detail = "this entry has no operators' token";
            return Problem::new(StatusCode::FORBIDDEN, detail).into_response();
        };
        operators.handle(req, id).await
    }

    fn addresses(&self, req: &Request<Incoming>) -> Response {
        if req.method() != Method::GET {
            return not_allowed("GET").into_response();
        }
        let view = self.cx.follower.view();
        addresses::answer(&self.settings, &view, req.uri().query())
    }

    async fn ask(
        &self,
        req: Request<Incoming>,
        id: &str,
        arrived: Instant,
    ) -> Result<Response, Problem> {
        let catalogue = self.cx.follower.catalogue();
        let account = auth::account(req.headers(), &catalogue)?.clone();
        let traceparent = headers::traceparent(req.headers());
        let span = tracing::Span::current();
        let asked = Asked {
            id: id.to_owned(),
            arrived,
            method: req.method().clone(),
            path: req.uri().path().to_owned(),
            query: req.uri().query().map(str::to_owned),
            headers: req.headers().clone(),
            account,
            traceparent: trace::traceparent(&span, &traceparent),
        };
        if asked.path == "/v1/chat/completions" {
            if asked.method != Method::POST {
                return Err(not_allowed("POST"));
            }
            let body = self.body(req).await?;
            return self.chat(asked, body).await;
        }
        if let Some((name, path)) = service::split(&asked.path) {
            let name = name.to_owned();
            return self.service(asked, &name, path, req).await;
        }
        let detail = format!("no such path {:?}", asked.path);
        Err(Problem::new(StatusCode::NOT_FOUND, detail))
    }

    async fn body(&self, req: Request<Incoming>) -> Result<Bytes, Problem> {
        let most = self.settings.limits.body;
        read_body(req.into_body(), most, self.settings.timing.receive).await
    }

    async fn chat(&self, asked: Asked, body: Bytes) -> Result<Response, Problem> {
        let chat = Chat::from_slice(&body)?;
        chat.check(&self.cx.follower.catalogue())?;
        let timing = &self.settings.timing;
        let (default, max) = (timing.chat_timeout, timing.timeout_max);
        let deadline = headers::deadline(&asked.headers, asked.arrived, default, max)?;
        let prompt_tokens = tokens(body.len());
        let answer_tokens = chat.answer_tokens(self.settings.limits.answer_tokens);
        let mut job = asked.job(PoolName::Model(chat.model.clone()), &body, deadline);
        job.prompt_tokens = prompt_tokens;
        job.tokens = prompt_tokens.saturating_add(answer_tokens);
        job.prefix = chat.prefix();
        job.adapter.clone_from(&chat.adapter);
        job.version.clone_from(&chat.version);
        self.check_quarantine(&mut job).await?;
        let permit = self.admit(&job).await?;
        let course = Course::new(self.cx.clone(), job, permit);
        if chat.stream {
            run_stream(course).await.map(reply::streamed)
        } else {
            run_whole(course).await.map(reply::whole)
        }
    }

    async fn service(
        &self,
        asked: Asked,
        name: &str,
        mut path: String,
        req: Request<Incoming>,
    ) -> Result<Response, Problem> {
        let catalogue = self.cx.follower.catalogue();
        let offered = catalogue
            .service(name)
            .ok_or_else(|| unknown("service", name))?;
        if let Some(query) = &asked.query {
            path = format!("{path}?{query}");
        }
        let max = self.settings.timing.timeout_max;
        let deadline = headers::deadline(&asked.headers, asked.arrived, offered.timeout, max)?;
        let repeats = offered.is_repeatable(asked.method.as_str());
        let key = if repeats {
            None
        } else {
            Some(service::idempotency_key(&asked.headers)?)
        };
        let body = self.body(req).await?;
        let mut job = asked.job(PoolName::Service(name.to_owned()), &body, deadline);
        job.path = path;
        if let Some(key) = key {
            return self.once(job, key).await;
        }
        self.check_quarantine(&mut job).await?;
        let permit = self.admit(&job).await?;
        let course = Course::new(self.cx.clone(), job, permit);
        run_whole(course).await.map(reply::whole)
    }

    /// A call that may not be repeated.
    async fn once(&self, mut job: Job, key: Bytes) -> Result<Response, Problem> {
        let quarantined = self.check_quarantine(&mut job).await;
        let digest = digest(&[job.method.as_bytes(), job.path.as_bytes(), &job.body]);
        let digest = Bytes::copy_from_slice(&digest);
        let once = OnceJob { job, key, digest };
        let admitted = match quarantined {
            Ok(()) => self.admit(&once.job).await,
            Err(problem) => Err(problem),
        };
        let answer = match admitted {
            Ok(permit) => run_once(self.cx.clone(), once, permit).await,
            Err(problem) => refuse_once(&self.cx, &once, problem).await,
        };
        answer.map(reply::whole)
    }

    /// Refuses a request that has crashed targets before, and notes whether
    /// it may have. Of a suspect the newest is asked first: it may have been
    /// convicted a moment ago, and would take down another target.
    async fn check_quarantine(&self, job: &mut Job) -> Result<(), Problem> {
        let placement = &self.cx.placement;
        let mut record = placement.record(&job.fingerprint);
        if record == Record::Runs(Suspicion::Suspect) {
            let within = self.settings.timing.start;
            // Without an answer, what is known counts.
            let _ = tokio::time::timeout(within, self.cx.follower.refresh()).await;
            placement.set_quarantine(&self.cx.follower.quarantine());
            record = placement.record(&job.fingerprint);
        }
        match record {
            Record::Runs(suspicion) => {
                job.suspicion = suspicion;
                Ok(())
            }
            Record::Convicted => Err(convicted()),
        }
    }

    /// Lets a request in, if this entry may take new work and its account may
    /// send it.
    #[tracing::instrument(name = "admission", skip_all, fields(request = %job.id))]
    async fn admit(&self, job: &Job) -> Result<Permit, Problem> {
        if !self.cx.follower.leased(Instant::now()) {
            self.refused("no_lease");
            return Err(unavailable("no lease from a majority of control"));
        }
        if !self.cx.placement.has_targets(job) {
            self.refused("no_target");
            let detail = format!("no live target offers {:?}", job.pool.as_str());
            return Err(unavailable(&detail));
        }
        let queue = Instant::now() + self.settings.timing.queue_wait;
        let admitted = self.cx.placement.admit(job, queue.min(job.deadline));
        admitted.await.map_err(|refusal| {
            self.refused(refusal.reason.name());
            refused(refusal)
        })
    }

    fn refused(&self, reason: &str) {
        let reason = Reason {
            reason: reason.to_owned(),
        };
        self.cx.metrics.refused.get_or_create(&reason).inc();
    }

    fn count(&self, response: &Response, arrived: Instant) {
        let status = Status {
            status: response.status().as_u16(),
        };
        self.cx.metrics.requests.get_or_create(&status).inc();
        let seconds = arrived.elapsed().as_secs_f64();
        self.cx.metrics.answer_seconds.observe(seconds);
    }
}

impl Asked {
    /// The job of a plain call; what only chat completions have is added.
    fn job(&self, pool: PoolName, body: &Bytes, deadline: Instant) -> Job {
        let method = self.method.as_str().to_owned();
        let body_digest = digest(&[method.as_bytes(), self.path.as_bytes(), body]);
        let parts = [
            self.account.name.as_bytes(),
            pool.as_str().as_bytes(),
            &body_digest,
        ];
        let fingerprint = Fingerprint::new(digest(&parts));
        Job {
            id: self.id.clone(),
            account: self.account.name.clone(),
            share: f64::from(self.account.share),
            priority: self.account.priority,
            pool,
            adapter: String::new(),
            version: String::new(),
            prompt_tokens: 1,
            tokens: 1,
            prefix: None,
            fingerprint,
            suspicion: Suspicion::Clear,
            method,
            path: self.path.clone(),
            headers: headers::passed(&self.headers),
            body: body.clone(),
            traceparent: self.traceparent.clone(),
            deadline,
        }
    }
}

/// Counts a request as closed however it ends, also when its caller goes
/// away and its future is dropped.
struct Closing(prometheus_client::metrics::gauge::Gauge);

impl Drop for Closing {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn refused(refusal: route::Refusal) -> Problem {
    use route::RefusalReason as Why;
    let (status, detail) = match refusal.reason {
        Why::RequestRate => (429, "the account's rate in requests is used up"),
        Why::TokenRate => (429, "the account's rate in tokens is used up"),
        Why::Concurrency => (429, "the account has as many requests as it may at once"),
        Why::Shed => (503, "there is no room and others go first"),
        Why::Expired => (503, "no target had room in time"),
    };
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut problem = Problem::new(status, detail);
    problem.retry_after = Some(refusal.retry_after);
    problem
}

fn unavailable(detail: &str) -> Problem {
    let mut problem = Problem::new(StatusCode::SERVICE_UNAVAILABLE, detail);
    problem.retry_after = Some(std::time::Duration::from_secs(1));
    problem
}

fn not_allowed(method: &'static str) -> Problem {
    let detail = format!("only {method} is known here");
    Problem::new(StatusCode::METHOD_NOT_ALLOWED, detail)
}

/// SHA-256 over parts, each with its length, so that no two lists of parts
/// have the same bytes.
fn digest(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
