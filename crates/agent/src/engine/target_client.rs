//! The HTTP client of the agent's target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use ::outlet::{Connection, Pool, SendError, fetch};
use admin::HOP_BY_HOP_HEADERS;

use super::{
    ArmingClient, ArmingDialect, ArmingState, CacheChange, Call, ClientSettings, CommandFailure,
    CommandReply, CommittedMap, ExpertCounts, Failure, Load, MapCommand, MapState, PoolCounts,
    Profile, Reply, Retry,
};

/// Largest request body that is written to a reused connection. A larger one
/// may fill the buffers of a target that reads slowly, and then a missing
/// acknowledgement says nothing about the connection.
const MAX_POOLED_BODY_BYTES: usize = 16 << 10;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// Kind of the agent's target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Sends requests and commands to one target.
#[derive(Clone, Debug)]
pub struct TargetClient {
    address: SocketAddr,
    kind: TargetKind,
    cfg: ClientSettings,
    pool: Arc<Pool>,
    /// Set for an engine whose ranks take separate commands to arm and to hold.
    arming: Option<Arc<ArmingClient>>,
}

/// Busy time per layer and window, in microseconds, of ranks that don't report
/// it: six layers share six sevenths of half a second. All ranks of such a group
/// step together, so the value doesn't distinguish between them.
const DEFAULT_STEP_US: u32 = 70_000;

impl TargetClient {
    /// A client of the target at an address; it keeps no idle connections.
    #[must_use]
    pub fn new(address: SocketAddr, kind: TargetKind, cfg: ClientSettings) -> Self {
        TargetClient {
            address,
            kind,
            cfg,
            pool: Arc::new(Pool::new(0, Duration::ZERO)),
            arming: None,
        }
    }

    /// A client of an engine whose ranks take separate commands to arm and to
    /// hold; it is used for expert maps only.
    #[must_use]
    pub fn arming(address: SocketAddr, dialect: ArmingDialect, cfg: ClientSettings) -> Self {
        let engine = ArmingClient::new(address, dialect, cfg.clone());
        let mut client = TargetClient::new(address, TargetKind::Engine, cfg);
        client.arming = Some(Arc::new(engine));
        client
    }

    /// Keeps up to `max_idle` connections open between calls, each idle for at
    /// most `idle_timeout`.
    #[must_use]
    pub fn with_keep_alive(mut self, max_idle: usize, idle_timeout: Duration) -> Self {
        self.pool = Arc::new(Pool::new(max_idle, idle_timeout));
        self
    }

    /// Counters of the connection pool.
    #[must_use]
    pub fn counts(&self) -> &PoolCounts {
        self.pool.counts()
    }

    /// Closes connections that have been idle for too long.
    pub fn evict_idle(&self, now: Instant) {
        self.pool.evict_expired(now);
    }

    /// Closes all idle connections, since another target instance may answer now.
    pub fn clear_pool(&self) {
        self.pool.clear();
    }

    /// Kind of the target.
    #[must_use]
    pub fn kind(&self) -> TargetKind {
        self.kind
    }

    /// Makes a call: connects, runs `before_write`, writes the request and
    /// waits for the head of the response. A call that may be repeated reuses an
    /// idle connection if there is one; every other call opens a new one.
    ///
    /// # Errors
    ///
    /// Fails when there is no response head in time. Returns
    /// [`Failure::NotRun`] only if nothing was written.
    pub async fn call(&self, call: &Call, before_write: impl Fn()) -> Result<Reply, Failure> {
        let mut req = self.build_request(call)?;
        let method = req.method().clone();
        if let Some(mut conn) = self.pooled_connection(call).await {
            before_write();
            match conn.try_send(req, self.cfg.head_timeout).await {
                Ok(response) => {
                    self.counts().reused.inc();
                    return Ok(self.reply(response, conn, &method));
                }
                Err(SendError::Failed(failure)) => return Err(failure),
                // The connection closed before anything was written, so the
                // call hasn't run.
                Err(SendError::Unwritten(unwritten)) => req = *unwritten,
            }
        }
        let mut conn = Connection::open(self.address, &self.cfg).await?;
        self.counts().opened.inc();
        before_write();
        let response = conn.send(req, self.cfg.head_timeout).await?;
        Ok(self.reply(response, conn, &method))
    }

    async fn pooled_connection(&self, call: &Call) -> Option<Connection> {
        if call.retry == Retry::Never || call.body.len() > MAX_POOLED_BODY_BYTES {
            return None;
        }
        while let Some(mut conn) = self.pool.take(Instant::now()) {
            if conn.is_ready(&self.cfg).await && conn.is_idle() {
                return Some(conn);
            }
            self.counts().dropped.inc();
        }
        None
    }

    fn reply(&self, response: Response<Incoming>, conn: Connection, method: &Method) -> Reply {
        let pool = Arc::clone(&self.pool);
        Reply::new(response, conn, &self.cfg, method, pool)
    }

    /// Reads the load.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or its answer is malformed.
    pub async fn load(&self) -> Result<Load, Failure> {
        match self.kind {
            TargetKind::Engine => self.get("/load").await,
            TargetKind::Service => self.service_load().await,
        }
    }

    /// Reads what an engine is and can do.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or its answer is malformed.
    pub async fn profile(&self) -> Result<Profile, Failure> {
        self.get("/info").await
    }

    /// Reads the changes of the prefix cache after a sequence number.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or its answer is malformed.
    pub async fn cache(&self, after: u64) -> Result<CacheChange, Failure> {
        self.get(&format!("/cache?after={after}")).await
    }

    /// Reads the step and the token counts of the experts.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or its answer is malformed.
    pub async fn experts(&self) -> Result<ExpertCounts, Failure> {
        match &self.arming {
            Some(engine) => engine.experts(DEFAULT_STEP_US).await,
            None => self.get("/experts").await,
        }
    }

    /// Reads the state of the engine's expert maps.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or its answer is malformed.
    pub async fn map(&self) -> Result<MapState, Failure> {
        match &self.arming {
            Some(engine) => engine.map().await,
            None => self.get("/map").await,
        }
    }

    /// Reads the state of a rank that takes separate commands to arm and to
    /// hold.
    ///
    /// # Errors
    ///
    /// Fails when the engine doesn't answer, its answer is malformed, or it is
    /// not such an engine.
    pub async fn arming_state(&self) -> Result<ArmingState, Failure> {
        match &self.arming {
            Some(engine) => engine.state().await,
            None => Err(Failure::NotRun(
                "the engine takes no arming commands".to_owned(),
            )),
        }
    }

    /// A client of another rank's engine, if this one takes arming commands.
    pub(crate) fn peer_client(&self, address: SocketAddr) -> Option<ArmingClient> {
        self.arming
            .as_ref()
            .map(|engine| engine.peer_client(address))
    }

    /// Tells the engine to stop a request.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer.
    pub async fn cancel(&self, request: &str) -> Result<(), Failure> {
        let body = json!({"request": request}).to_string();
        self.post("/cancel", body).await.map(drop)
    }

    /// Sends a map command under a fencing number.
    ///
    /// # Errors
    ///
    /// See [`CommandFailure`].
    pub async fn send_command(
        &self,
        fencing: u64,
        command: &MapCommand,
    ) -> Result<CommandReply, CommandFailure> {
        if let Some(engine) = &self.arming {
            return engine.send_command(fencing, command).await;
        }
        let (path, body) = encode_command(fencing, command)?;
        let answer = self.post(path, body).await;
        let (status, body) = answer.map_err(CommandFailure::Failed)?;
        if status == StatusCode::CONFLICT {
            let state: MapState = parse(&body).map_err(CommandFailure::Failed)?;
            return Err(CommandFailure::Fenced {
                highest: state.fencing,
            });
        }
        if !status.is_success() {
            let reason = String::from_utf8_lossy(&body).into_owned();
            return Err(CommandFailure::Refused(reason));
        }
        parse(&body).map_err(CommandFailure::Failed)
    }

    /// A service that answers without a load report still counts as up.
    async fn service_load(&self) -> Result<Load, Failure> {
        let req = self.json_request(Method::GET, "/load", Bytes::new())?;
        let (_, body) = fetch(self.address, &self.cfg, req).await?;
        Ok(serde_json::from_slice(&body).unwrap_or_default())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let req = self.json_request(Method::GET, path, Bytes::new())?;
        let (status, body) = fetch(self.address, &self.cfg, req).await?;
        if !status.is_success() {
            return Err(Failure::Broken(format!("{path} answered {status}")));
        }
        parse(&body)
    }

    async fn post(&self, path: &str, body: String) -> Result<(StatusCode, Bytes), Failure> {
        let req = self.json_request(Method::POST, path, body.into())?;
        fetch(self.address, &self.cfg, req).await
    }

    fn json_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, JSON)
            .body(Full::new(body))
            .map_err(|e| Failure::NotRun(e.to_string()))
    }

    fn build_request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
        let mut req = match self.kind {
            TargetKind::Engine => {
                let path = "/v1/chat/completions";
                let mut req = self.json_request(Method::POST, path, call.body.clone())?;
                let headers = req.headers_mut();
                headers.insert("x-resume-events", call.resume_events.into());
                headers.insert("x-rank", call.rank.into());
                headers.insert("x-priority", call.priority.into());
                req
            }
            TargetKind::Service => self.forwarded_request(call)?,
        };
        insert_text(&mut req, "x-request-id", &call.request);
        insert_text(&mut req, "traceparent", &call.traceparent);
        Ok(req)
    }

    fn forwarded_request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
        let mut req = Request::builder().method(call.method.as_str());
        req = req.uri(call.path.as_str());
        for (name, value) in &call.headers {
            let hop = HOP_BY_HOP_HEADERS
                .iter()
                .any(|hop| name.eq_ignore_ascii_case(hop));
            if !hop && !name.eq_ignore_ascii_case("host") {
                req = req.header(name.as_str(), value.as_ref());
            }
        }
        req.header(HOST, self.address.to_string())
            .body(Full::new(call.body.clone()))
            .map_err(|e| Failure::NotRun(e.to_string()))
    }
}

fn insert_text(req: &mut Request<Full<Bytes>>, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text)
        && !text.is_empty()
    {
        let name = HeaderName::from_static(name);
        req.headers_mut().insert(name, value);
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|e| Failure::Broken(e.to_string()))
}

fn encode_command(
    fencing: u64,
    command: &MapCommand,
) -> Result<(&'static str, String), CommandFailure> {
    let outcome = |version: &u64, step: &u64, commit: bool| {
        let body = json!({"fencing": fencing, "version": version, "step": step, "commit": commit});
        ("/map/outcome", body.to_string())
    };
    Ok(match command {
        MapCommand::Stage { version, map } => {
            let map: Value = serde_json::from_slice(map)
                .map_err(|e| CommandFailure::Failed(Failure::NotRun(e.to_string())))?;
            let body = json!({"fencing": fencing, "version": version, "map": map});
            ("/map/stage", body.to_string())
        }
        MapCommand::Hold { version, step } => {
            let body = json!({"fencing": fencing, "version": version, "step": step});
            ("/map/hold", body.to_string())
        }
        MapCommand::Join { formation, maps } => {
            let mut all = Vec::new();
            for CommittedMap { version, step, map } in maps {
                let map: Value = serde_json::from_slice(map)
                    .map_err(|e| CommandFailure::Failed(Failure::NotRun(e.to_string())))?;
                all.push(json!({"version": version, "step": step, "map": map}));
            }
            let body = json!({"fencing": fencing, "formation": formation, "maps": all});
            ("/map/join", body.to_string())
        }
        MapCommand::Commit { version, step } => outcome(version, step, true),
        MapCommand::Abort { version, step } => outcome(version, step, false),
    })
}
