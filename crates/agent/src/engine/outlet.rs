//! The agent's way to its target.

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

use ::outlet::{Connection, Pool, Unanswered, ask};
use admin::HOP_HEADERS;

use super::{
    ArmingDialect, ArmingEngine, ArmingState, CacheChange, Call, ClientSettings, ExpertCounts,
    Failure, InForce, Load, MapOrder, MapState, Obeyed, OrderFailure, PoolCounts, Profile, Repeats,
    Reply,
};

/// Bytes of a body at most that is written to a connection that was kept. More
/// might fill the buffers of a target that reads slowly, and then what isn't
/// acknowledged in time would say nothing about the connection.
const MAX_KEPT_BODY: usize = 16 << 10;

const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// What kind of target stands behind the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stand {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// Calls and orders one target.
#[derive(Clone, Debug)]
pub struct Outlet {
    address: SocketAddr,
    stand: Stand,
    cfg: ClientSettings,
    pool: Arc<Pool>,
    /// Set for an engine whose ranks are armed and held by orders of their own.
    arming: Option<Arc<ArmingEngine>>,
}

/// Microseconds of a window that a layer of a busy rank is taken to need
/// where the rank doesn't say: six layers share six sevenths of half a second.
/// All ranks of such a group step together, so no rank is told apart by it.
const EQUAL_STEP_US: u32 = 70_000;

impl Outlet {
    /// The way to the target at an address; keeps no connections.
    #[must_use]
    pub fn new(address: SocketAddr, stand: Stand, cfg: ClientSettings) -> Self {
        Outlet {
            address,
            stand,
            cfg,
            pool: Arc::new(Pool::new(0, Duration::ZERO)),
            arming: None,
        }
    }

    /// The way to an engine whose ranks are armed and held by orders of their
    /// own; it is only asked about maps.
    #[must_use]
    pub fn arming(address: SocketAddr, dialect: ArmingDialect, cfg: ClientSettings) -> Self {
        let engine = ArmingEngine::new(address, dialect, cfg.clone());
        let mut outlet = Outlet::new(address, Stand::Engine, cfg);
        outlet.arming = Some(Arc::new(engine));
        outlet
    }

    /// Keeps at most `most` connections between two calls, each for at most
    /// `idle` unused.
    #[must_use]
    pub fn keeping(mut self, most: usize, idle: Duration) -> Self {
        self.pool = Arc::new(Pool::new(most, idle));
        self
    }

    /// Counts of connections.
    #[must_use]
    pub fn counts(&self) -> &PoolCounts {
        self.pool.counts()
    }

    /// Closes connections that were kept for too long.
    pub fn tidy(&self, now: Instant) {
        self.pool.tidy(now);
    }

    /// Closes all connections that are kept: the target may be another one.
    pub fn forget_kept(&self) {
        self.pool.clear();
    }

    /// What kind of target it is.
    #[must_use]
    pub fn stand(&self) -> Stand {
        self.stand
    }

    /// Makes a call: connects, runs `before_write`, writes the request and
    /// waits for the head of the answer. A call that may be repeated is
    /// written to a connection that was kept, if there is one; all others have
    /// a fresh one.
    ///
    /// # Errors
    ///
    /// [`Failure::NotRun`] only if nothing was written.
    pub async fn call(&self, call: &Call, before_write: impl Fn()) -> Result<Reply, Failure> {
        let mut req = self.request(call)?;
        if let Some(mut conn) = self.kept(call).await {
            before_write();
            match conn.try_send(req, self.cfg.head).await {
                Ok(response) => {
                    self.counts().reused.inc();
                    return Ok(self.reply(response, conn, call));
                }
                Err(Unanswered::Failed(failure)) => return Err(failure),
                // The connection ended first; a fresh one runs it for the
                // first time.
                Err(Unanswered::Unwritten(unwritten)) => req = *unwritten,
            }
        }
        let mut conn = Connection::open(self.address, &self.cfg).await?;
        self.counts().opened.inc();
        before_write();
        let response = conn.send(req, self.cfg.head).await?;
        Ok(self.reply(response, conn, call))
    }

    async fn kept(&self, call: &Call) -> Option<Connection> {
        if call.repeats == Repeats::Never || call.body.len() > MAX_KEPT_BODY {
            return None;
        }
        while let Some(mut conn) = self.pool.take(Instant::now()) {
            if conn.is_ready(&self.cfg).await && conn.is_quiet() {
                return Some(conn);
            }
            self.counts().dropped.inc();
        }
        None
    }

    fn reply(&self, response: Response<Incoming>, conn: Connection, call: &Call) -> Reply {
        let pool = Arc::clone(&self.pool);
        Reply::new(response, conn, &self.cfg, &call.method, pool)
    }

    /// Asks for the load.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or answers something else.
    pub async fn load(&self) -> Result<Load, Failure> {
        match self.stand {
            Stand::Engine => self.get("/load").await,
            Stand::Service => self.service_load().await,
        }
    }

    /// Asks an engine what it is and can do.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or answers something else.
    pub async fn profile(&self) -> Result<Profile, Failure> {
        self.get("/info").await
    }

    /// Asks for the changes of the prefix cache after a sequence number.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or answers something else.
    pub async fn cache(&self, after: u64) -> Result<CacheChange, Failure> {
        self.get(&format!("/cache?after={after}")).await
    }

    /// Asks for steps and token counts of the experts.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or answers something else.
    pub async fn experts(&self) -> Result<ExpertCounts, Failure> {
        match &self.arming {
            Some(engine) => engine.experts(EQUAL_STEP_US).await,
            None => self.get("/experts").await,
        }
    }

    /// Asks where the engine stands with its maps.
    ///
    /// # Errors
    ///
    /// Fails when the target doesn't answer or answers something else.
    pub async fn map(&self) -> Result<MapState, Failure> {
        match &self.arming {
            Some(engine) => engine.map().await,
            None => self.get("/map").await,
        }
    }

    /// Asks a rank that is armed and held by orders of its own where it stands.
    ///
    /// # Errors
    ///
    /// Fails when the engine doesn't answer, answers something else, or is no
    /// such engine.
    pub async fn arming_state(&self) -> Result<ArmingState, Failure> {
        match &self.arming {
            Some(engine) => engine.state().await,
            None => Err(Failure::NotRun("not such an engine".to_owned())),
        }
    }

    /// The engine of another rank, if this one is armed by orders of its own.
    pub(crate) fn beside(&self, address: SocketAddr) -> Option<ArmingEngine> {
        self.arming.as_ref().map(|engine| engine.beside(address))
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

    /// Gives an order under a fencing number.
    ///
    /// # Errors
    ///
    /// See [`OrderFailure`]; a call that failed otherwise than as not run may
    /// have been obeyed.
    pub async fn order(&self, fencing: u64, order: &MapOrder) -> Result<Obeyed, OrderFailure> {
        if let Some(engine) = &self.arming {
            return engine.order(fencing, order).await;
        }
        let (path, body) = spell(fencing, order)?;
        let answer = self.post(path, body).await;
        let (status, body) = answer.map_err(OrderFailure::Failed)?;
        if status == StatusCode::CONFLICT {
            let stands: MapState = parse(&body).map_err(OrderFailure::Failed)?;
            return Err(OrderFailure::Fenced {
                highest: stands.fencing,
            });
        }
        if !status.is_success() {
            let reason = String::from_utf8_lossy(&body).into_owned();
            return Err(OrderFailure::Refused(reason));
        }
        parse(&body).map_err(OrderFailure::Failed)
    }

    /// A service that answers, but not with a load, is up all the same.
    async fn service_load(&self) -> Result<Load, Failure> {
        let req = self.plain(Method::GET, "/load", Bytes::new())?;
        let (_, body) = ask(self.address, &self.cfg, req).await?;
        Ok(serde_json::from_slice(&body).unwrap_or_default())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let req = self.plain(Method::GET, path, Bytes::new())?;
        let (status, body) = ask(self.address, &self.cfg, req).await?;
        if !status.is_success() {
            return Err(Failure::Broken(format!("{path} answered {status}")));
        }
        parse(&body)
    }

    async fn post(&self, path: &str, body: String) -> Result<(StatusCode, Bytes), Failure> {
        let req = self.plain(Method::POST, path, body.into())?;
        ask(self.address, &self.cfg, req).await
    }

    fn plain(
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

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
        let mut req = match self.stand {
            Stand::Engine => {
                let path = "/v1/chat/completions";
                let mut req = self.plain(Method::POST, path, call.body.clone())?;
                let headers = req.headers_mut();
                headers.insert("x-resume-events", call.resume_events.into());
                headers.insert("x-rank", call.rank.into());
                headers.insert("x-priority", call.priority.into());
                req
            }
            Stand::Service => self.passed_on(call)?,
        };
        insert_text(&mut req, "x-request-id", &call.request);
        insert_text(&mut req, "traceparent", &call.traceparent);
        Ok(req)
    }

    fn passed_on(&self, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
        let mut req = Request::builder().method(call.method.as_str());
        req = req.uri(call.path.as_str());
        for (name, value) in &call.headers {
            let hop = HOP_HEADERS.iter().any(|hop| name.eq_ignore_ascii_case(hop));
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

fn spell(fencing: u64, order: &MapOrder) -> Result<(&'static str, String), OrderFailure> {
    let outcome = |version: &u64, step: &u64, commit: bool| {
        let body = json!({"fencing": fencing, "version": version, "step": step, "commit": commit});
        ("/map/outcome", body.to_string())
    };
    Ok(match order {
        MapOrder::Stage { version, map } => {
            let map: Value = serde_json::from_slice(map)
                .map_err(|e| OrderFailure::Failed(Failure::NotRun(e.to_string())))?;
            let body = json!({"fencing": fencing, "version": version, "map": map});
            ("/map/stage", body.to_string())
        }
        MapOrder::Hold { version, step } => {
            let body = json!({"fencing": fencing, "version": version, "step": step});
            ("/map/hold", body.to_string())
        }
        MapOrder::Join { formation, maps } => {
            let mut all = Vec::new();
            for InForce { version, step, map } in maps {
                let map: Value = serde_json::from_slice(map)
                    .map_err(|e| OrderFailure::Failed(Failure::NotRun(e.to_string())))?;
                all.push(json!({"version": version, "step": step, "map": map}));
            }
            let body = json!({"fencing": fencing, "formation": formation, "maps": all});
            ("/map/join", body.to_string())
        }
        MapOrder::Commit { version, step } => outcome(version, step, true),
        MapOrder::Abort { version, step } => outcome(version, step, false),
    })
}
