//! HTTP request handling.

use std::sync::Arc;
use std::time::Instant;

use admin::{MonitoringRoutes, OperatorRoutes, Problem, RequestBody, Response};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Method, Request, StatusCode};
use note::Account;
use route::{Fingerprint, Suspicion};
use tracing::Instrument;

use super::chat::{Chat, estimate_tokens, unknown_name};
use super::{addresses, auth, headers, reply, service};
use crate::Settings;
use crate::job::Job;
use crate::metrics::{ReasonLabel, StatusLabel};
use crate::placement::{Permit, QuarantineStatus};
use crate::pool_name::PoolName;
use crate::work::{
    AtMostOnceJob, Execution, ExecutionContext, convicted_problem, refuse_at_most_once,
    run_at_most_once, run_buffered, run_stream,
};

/// Handles the HTTP requests of callers and operators; clones share their state.
#[derive(Clone)]
pub(crate) struct Frontend {
    pub(crate) settings: Arc<Settings>,
    pub(crate) context: ExecutionContext,
    pub(crate) pages: MonitoringRoutes,
    pub(crate) operators: Option<OperatorRoutes>,
}

/// The head of an authenticated request.
struct AuthenticatedRequest {
    id: String,
    arrived: Instant,
    method: Method,
    path: String,
    query: Option<String>,
    headers: HeaderMap,
    account: Account,
    traceparent: String,
}

impl Frontend {
    /// Handles one HTTP request.
    pub(crate) async fn handle(self, req: Request<RequestBody>) -> Response {
        let path = req.uri().path();
        if let Some(page) = self.pages.answer(req.method(), path) {
            return page;
        }
        let id = format!("{:032x}", rand::random::<u128>());
        if OperatorRoutes::matches(path) {
            return self.handle_operator(req, &id).await;
        }
        if path == "/v1/addresses" {
            return self.addresses(&req);
        }
        let span = tracing::info_span!("request", request = %id);
        trace::set_parent(&span, &headers::traceparent(req.headers()));
        let arrived = Instant::now();
        let open = &self.context.metrics.open_requests;
        open.inc();
        let _open_request = OpenRequestGuard(open.clone());
        let result = self.dispatch(req, &id, arrived).instrument(span).await;
        let mut response = result.unwrap_or_else(|mut problem| {
            problem.request = Some(id.clone());
            let status = problem.status.as_u16();
            log::info!(request = id.as_str(), status = status; "{}", problem.detail);
            problem.into_response()
        });
        if let Ok(id) = HeaderValue::from_str(&id) {
            response.headers_mut().insert("x-request-id", id);
        }
        self.record_response(&response, arrived);
        let status = response.status().as_u16();
        log::debug!(request = id.as_str(), status = status; "answered");
        response
    }

    async fn handle_operator(&self, req: Request<RequestBody>, id: &str) -> Response {
        let Some(operators) = &self.operators else {
            let detail = "this entry has no operators' token";
            return Problem::new(StatusCode::FORBIDDEN, detail).into_response();
        };
        operators.handle(req, id).await
    }

    fn addresses(&self, req: &Request<RequestBody>) -> Response {
        if req.method() != Method::GET {
            return method_not_allowed("GET").into_response();
        }
        let view = self.context.follower.view();
        addresses::response(&self.settings, &view, req.uri().query())
    }

    async fn dispatch(
        &self,
        req: Request<RequestBody>,
        id: &str,
        arrived: Instant,
    ) -> Result<Response, Problem> {
        let catalogue = self.context.follower.catalogue();
        let account = auth::authenticate(req.headers(), &catalogue)?.clone();
        let traceparent = headers::traceparent(req.headers());
        let span = tracing::Span::current();
        let request = AuthenticatedRequest {
            id: id.to_owned(),
            arrived,
            method: req.method().clone(),
            path: req.uri().path().to_owned(),
            query: req.uri().query().map(str::to_owned),
            headers: req.headers().clone(),
            account,
            traceparent: trace::traceparent(&span, &traceparent),
        };
        if request.path == "/v1/chat/completions" {
            if request.method != Method::POST {
                return Err(method_not_allowed("POST"));
            }
            let body = self.read_request_body(req).await?;
            return self.chat(request, body).await;
        }
        if let Some((name, path)) = service::split_path(&request.path) {
            let name = name.to_owned();
            return self.service(request, &name, path, req).await;
        }
        let detail = format!("no such path {:?}", request.path);
        Err(Problem::new(StatusCode::NOT_FOUND, detail))
    }

    async fn read_request_body(&self, req: Request<RequestBody>) -> Result<Bytes, Problem> {
        let max_bytes = self.settings.limits.body;
        let timeout = self.settings.timing.receive;
        req.into_body().read(max_bytes, timeout).await
    }

    async fn chat(&self, request: AuthenticatedRequest, body: Bytes) -> Result<Response, Problem> {
        let chat = Chat::from_slice(&body)?;
        chat.check_offered(&self.context.follower.catalogue())?;
        let timing = &self.settings.timing;
        let (default, max) = (timing.chat_timeout, timing.timeout_max);
        let deadline = headers::deadline(&request.headers, request.arrived, default, max)?;
        let prompt_tokens = estimate_tokens(body.len());
        let answer_tokens = chat.answer_tokens(self.settings.limits.answer_tokens);
        let mut job = request.job(PoolName::Model(chat.model.clone()), &body, deadline);
        job.prompt_tokens = prompt_tokens;
        job.tokens = prompt_tokens.saturating_add(answer_tokens);
        job.prefix = chat.prefix();
        job.parts = chat.parts();
        job.adapter.clone_from(&chat.adapter);
        job.version.clone_from(&chat.version);
        self.check_quarantine(&mut job).await?;
        let permit = self.admit(&job).await?;
        let execution = Execution::new(self.context.clone(), job, permit);
        if chat.stream {
            run_stream(execution).await.map(reply::streamed)
        } else {
            run_buffered(execution).await.map(reply::buffered)
        }
    }

    async fn service(
        &self,
        request: AuthenticatedRequest,
        name: &str,
        mut path: String,
        req: Request<RequestBody>,
    ) -> Result<Response, Problem> {
        let catalogue = self.context.follower.catalogue();
        let offered = catalogue
            .service(name)
            .ok_or_else(|| unknown_name("service", name))?;
        if let Some(query) = &request.query {
            path = format!("{path}?{query}");
        }
        let max = self.settings.timing.timeout_max;
        let deadline = headers::deadline(&request.headers, request.arrived, offered.timeout, max)?;
        let repeats = offered.is_repeatable(request.method.as_str());
        let key = if repeats {
            None
        } else {
            Some(service::idempotency_key(&request.headers)?)
        };
        let body = self.read_request_body(req).await?;
        let mut job = request.job(PoolName::Service(name.to_owned()), &body, deadline);
        job.path = path;
        if let Some(key) = key {
            return self.at_most_once(job, key).await;
        }
        self.check_quarantine(&mut job).await?;
        let permit = self.admit(&job).await?;
        let execution = Execution::new(self.context.clone(), job, permit);
        run_buffered(execution).await.map(reply::buffered)
    }

    /// Runs a non-repeatable call.
    async fn at_most_once(&self, mut job: Job, key: Bytes) -> Result<Response, Problem> {
        let quarantine_check = self.check_quarantine(&mut job).await;
        let digest = digest(&[job.method.as_bytes(), job.path.as_bytes(), &job.body]);
        let digest = Bytes::copy_from_slice(&digest);
        let call = AtMostOnceJob { job, key, digest };
        let admitted = match quarantine_check {
            Ok(()) => self.admit(&call.job).await,
            Err(problem) => Err(problem),
        };
        let answer = match admitted {
            Ok(permit) => run_at_most_once(self.context.clone(), call, permit).await,
            Err(problem) => refuse_at_most_once(&self.context, &call, problem).await,
        };
        answer.map(reply::buffered)
    }

    /// Refuses a request that is quarantined because it crashed targets, and records in
    /// the job whether it is suspected of that. For a suspect, the quarantine is
    /// refreshed first: the request may have been convicted since, and running it would
    /// crash another target.
    async fn check_quarantine(&self, job: &mut Job) -> Result<(), Problem> {
        let placement = &self.context.placement;
        let mut quarantine_status = placement.quarantine_status(job);
        if quarantine_status == QuarantineStatus::Allowed(Suspicion::Suspect) {
            let timeout = self.settings.timing.start;
            // If the refresh fails, the last known quarantine applies.
            let _ = tokio::time::timeout(timeout, self.context.follower.refresh()).await;
            placement.set_quarantine(&self.context.follower.quarantine());
            quarantine_status = placement.quarantine_status(job);
        }
        match quarantine_status {
            QuarantineStatus::Allowed(suspicion) => {
                job.suspicion = suspicion;
                Ok(())
            }
            QuarantineStatus::Convicted => Err(convicted_problem()),
        }
    }

    /// Admits a request if this entry may accept new work and the limits of the account
    /// allow it.
    #[tracing::instrument(name = "admission", skip_all, fields(request = %job.id))]
    async fn admit(&self, job: &Job) -> Result<Permit, Problem> {
        if !self.context.follower.leased(Instant::now()) {
            self.count_refusal("no_lease");
            return Err(unavailable("no lease from a majority of control"));
        }
        if !self.context.placement.has_targets(job) {
            self.count_refusal("no_target");
            let detail = format!("no live target offers {:?}", job.pool.as_str());
            return Err(unavailable(&detail));
        }
        let queue_deadline = Instant::now() + self.settings.timing.queue_wait;
        let admitted = self
            .context
            .placement
            .admit(job, queue_deadline.min(job.deadline));
        admitted.await.map_err(|refusal| {
            self.count_refusal(refusal.reason.name());
            refusal_problem(refusal)
        })
    }

    fn count_refusal(&self, reason: &str) {
        let reason = ReasonLabel {
            reason: reason.to_owned(),
        };
        self.context.metrics.refused.get_or_create(&reason).inc();
    }

    fn record_response(&self, response: &Response, arrived: Instant) {
        let status = StatusLabel {
            status: response.status().as_u16(),
        };
        self.context.metrics.requests.get_or_create(&status).inc();
        let seconds = arrived.elapsed().as_secs_f64();
        self.context.metrics.answer_seconds.observe(seconds);
    }
}

impl AuthenticatedRequest {
    /// Creates the job of a service call. For chat completions, the caller adds the
    /// model-specific fields.
    fn job(&self, pool: PoolName, body: &Bytes, deadline: Instant) -> Job {
        let method = self.method.as_str().to_owned();
        let body_digest = digest(&[method.as_bytes(), self.path.as_bytes(), body]);
        let parts = [
            self.account.name.as_bytes(),
            pool.as_str().as_bytes(),
            &body_digest,
        ];
        let fingerprint = Fingerprint::of_parts(&parts);
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
            parts: Vec::new(),
            suspicion: Suspicion::Clear,
            method,
            path: self.path.clone(),
            headers: headers::forwarded(&self.headers),
            body: body.clone(),
            traceparent: self.traceparent.clone(),
            deadline,
        }
    }
}

/// Decrements the gauge of open requests on drop, and thus also if the caller
/// disconnects and the future is dropped.
struct OpenRequestGuard(prometheus_client::metrics::gauge::Gauge);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.dec();
    }
}

fn refusal_problem(refusal: route::Refusal) -> Problem {
    use route::RefusalReason;
    let (status, detail) = match refusal.reason {
        RefusalReason::RequestRate => (429, "the account's rate in requests is used up"),
        RefusalReason::TokenRate => (429, "the account's rate in tokens is used up"),
        RefusalReason::Concurrency => (429, "the account has as many requests as it may at once"),
        RefusalReason::Shed => (503, "there is no room and others go first"),
        RefusalReason::Expired => (503, "no target had room in time"),
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

fn method_not_allowed(method: &'static str) -> Problem {
    let detail = format!("only {method} is known here");
    Problem::new(StatusCode::METHOD_NOT_ALLOWED, detail)
}

/// SHA-256 over length-prefixed parts.
fn digest(parts: &[&[u8]]) -> [u8; Fingerprint::LEN] {
    *Fingerprint::of_parts(parts).as_bytes()
}
