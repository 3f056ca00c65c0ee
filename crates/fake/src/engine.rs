//! A fake model engine.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::batch::{Batch, lock};
use crate::collective_member::CollectiveMember;
use crate::completion::{Completion, ResponseFormat};
use crate::expert_state::ExpertState;
use crate::faults::Faults;
use crate::http::{self, HandlerResult};
use crate::request_log::RequestLog;
use crate::{EngineSettings, Fault, RecordedRequest, control_routes, server};

/// Steps that a request covered by [`Fault::CrashOn`] runs before the crash.
const STEPS_BEFORE_CRASH: u64 = 2;

/// Shortest interval between steps. It paces an idle engine whose step time is zero;
/// requests do not wait for steps then.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(1);

/// Time within which the connections of a crashed engine are closed.
const CONNECTION_CLOSE_TIME: Duration = Duration::from_secs(1);

/// Most events buffered for a slow reader.
const EVENT_BUFFER: usize = 16;

/// A fake model engine on loopback.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    address: SocketAddr,
    current: Mutex<Arc<RunningEngine>>,
}

/// State that is kept across restarts.
#[derive(Debug)]
pub(crate) struct Shared {
    pub cfg: EngineSettings,
    pub faults: Faults,
    pub requests: RequestLog,
}

/// State between a start and the next crash.
#[derive(Debug)]
pub(crate) struct RunningEngine {
    pub shared: Arc<Shared>,
    pub batch: Batch,
    pub experts: watch::Sender<ExpertState>,
    pub stopped: CancellationToken,
    /// Unique to each start.
    instance: String,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    ///
    /// ```
    /// # tokio::runtime::Runtime::new().unwrap().block_on(async {
    /// let engine = fake::Engine::start(fake::EngineSettings::default()).await?;
    /// assert_ne!(engine.address().port(), 0);
    /// # std::io::Result::Ok(())
    /// # }).unwrap();
    /// ```
    pub async fn start(cfg: EngineSettings) -> io::Result<Self> {
        let address = cfg.address;
        let shared = Arc::new(Shared {
            cfg,
            faults: Faults::new(),
            requests: RequestLog::default(),
        });
        let (engine, address) = RunningEngine::start(Arc::clone(&shared), address).await?;
        Ok(Engine {
            shared,
            address,
            current: Mutex::new(engine),
        })
    }

    /// Restarts the engine at the same address, with cleared faults and without
    /// the maps, cache and fencing number of the previous run.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.current().stopped.cancel();
        self.shared.faults.clear();
        let (engine, _) = RunningEngine::start(Arc::clone(&self.shared), self.address).await?;
        *lock(&self.current) = engine;
        Ok(())
    }

    /// Listening address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The latest completion requests and commands received, oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.shared.requests.list()
    }

    /// Number of requests running now.
    #[must_use]
    pub fn running_requests(&self) -> u64 {
        let engine = self.current();
        let report = engine.batch.load_report(&[], Duration::ZERO);
        report["running"].as_u64().unwrap_or_default()
    }

    /// First step and version of each map used so far.
    #[must_use]
    pub fn map_history(&self) -> Vec<(u64, u64)> {
        self.current().experts.borrow().history.clone()
    }

    /// The state returned by `GET /map`.
    #[must_use]
    pub fn map_state(&self) -> Value {
        self.current().experts.borrow().to_json()
    }

    /// Injects a fault.
    pub fn inject_fault(&self, fault: Fault) {
        self.current().inject_fault(fault);
    }

    /// Clears all faults; a crashed engine stays down until [`Engine::restart`].
    pub fn clear_faults(&self) {
        self.shared.faults.clear();
    }

    fn current(&self) -> Arc<RunningEngine> {
        Arc::clone(&lock(&self.current))
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.current().stopped.cancel();
    }
}

impl RunningEngine {
    async fn start(
        shared: Arc<Shared>,
        address: SocketAddr,
    ) -> io::Result<(Arc<RunningEngine>, SocketAddr)> {
        let engine = Arc::new(RunningEngine {
            batch: Batch::new(shared.cfg.max_running),
            experts: watch::Sender::new(ExpertState::new(&shared.cfg)),
            stopped: CancellationToken::new(),
            instance: new_instance_id(),
            shared,
        });
        let stopped = engine.stopped.clone();
        let address = server::serve(address, Arc::clone(&engine), stopped, handle).await?;
        tokio::spawn(run_steps(Arc::clone(&engine)));
        Ok((engine, address))
    }

    pub fn inject_fault(&self, fault: Fault) {
        if fault == Fault::Crash {
            self.stopped.cancel();
        } else {
            self.shared.faults.add(fault);
        }
    }

    pub fn step_time(&self) -> Duration {
        self.shared.faults.scale_time(self.shared.cfg.step_time)
    }

    /// Waits for the next step; returns at once if the step time is zero.
    async fn next_step(&self, steps: &mut watch::Receiver<u64>) {
        if self.stopped.is_cancelled() {
            std::future::pending::<()>().await;
        }
        if self.shared.cfg.step_time.is_zero() {
            self.shared.faults.wait_until_cleared(&Fault::Stall).await;
            return;
        }
        let _ = steps.changed().await;
    }
}

async fn run_steps(engine: Arc<RunningEngine>) {
    let stopped = engine.stopped.clone();
    tokio::select! {
        () = stopped.cancelled() => {}
        () = step_loop(&engine) => {}
    }
}

async fn step_loop(engine: &Arc<RunningEngine>) {
    let cfg = &engine.shared.cfg;
    let mut member = cfg
        .collective
        .map(|address| CollectiveMember::join(address, Arc::clone(engine)));
    let mut step = 0;
    loop {
        tokio::time::sleep(engine.step_time().max(MIN_STEP_INTERVAL)).await;
        engine.shared.faults.wait_until_cleared(&Fault::Stall).await;
        step = match &mut member {
            Some(member) => member.next_step(step).await,
            None => step + 1,
        };
        let mut experts = engine.experts.subscribe();
        let _ = experts.wait_for(|experts| experts.may_run(step)).await;
        engine.experts.send_modify(|experts| {
            experts.run(step);
            experts.count_tokens(&cfg.popularity, cfg.drift_steps);
        });
        if let Some(member) = &member {
            member.report_completed(&engine.experts.borrow());
        }
        engine.batch.step.send_replace(step);
    }
}

async fn handle(engine: Arc<RunningEngine>, req: Request<Incoming>) -> HandlerResult {
    let request = http::read_request(req).await?;
    let path = request.path.clone();
    if let Some(name) = path.strip_prefix("/fault/") {
        return Ok(control_routes::set_fault(&engine, name, &request));
    }
    engine
        .shared
        .faults
        .wait_until_cleared(&Fault::Unresponsive)
        .await;
    if path == "/v1/chat/completions" {
        return complete(engine, request).await;
    }
    control_routes::handle(&engine, request)
}

async fn complete(engine: Arc<RunningEngine>, request: RecordedRequest) -> HandlerResult {
    if engine.shared.faults.has(&Fault::Refuse) {
        return Ok(http::error(
            StatusCode::SERVICE_UNAVAILABLE,
            "refused by fault",
        ));
    }
    let completion = match Completion::parse(&request.body, engine.shared.cfg.default_max_tokens) {
        Ok(completion) => completion,
        Err(e) => return Ok(http::error(StatusCode::BAD_REQUEST, &e.to_string())),
    };
    let run = CompletionRun {
        request_id: request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned(),
        skip: numeric_header(&request, "x-resume-events"),
        rank: u32::try_from(numeric_header(&request, "x-rank")).unwrap_or_default(),
        crashes: engine.shared.faults.crashes_on(&request.body),
        completion,
    };
    engine.shared.requests.push(request);
    match run.completion.format {
        ResponseFormat::Json => respond_json(&engine, &run).await,
        ResponseFormat::EventStream => {
            let (tx, events) = mpsc::channel(EVENT_BUFFER);
            tokio::spawn(run_stream(engine, run, tx));
            Ok(http::stream(events))
        }
    }
}

/// A running completion.
struct CompletionRun {
    request_id: String,
    /// Events left out at the start, which the caller has already received.
    skip: u64,
    rank: u32,
    crashes: bool,
    completion: Completion,
}

fn numeric_header(request: &RecordedRequest, name: &str) -> u64 {
    let value = request.header(name).and_then(|value| value.parse().ok());
    value.unwrap_or_default()
}

async fn respond_json(engine: &RunningEngine, run: &CompletionRun) -> HandlerResult {
    let slot = engine.batch.acquire_slot(run.rank).await;
    let mut steps = engine.batch.step.subscribe();
    for index in 0..run.completion.tokens {
        crash_if_due(engine, run, index);
        engine.next_step(&mut steps).await;
    }
    drop(slot);
    engine.batch.cache_prefix(run.completion.prefix_hash());
    if engine.shared.faults.has(&Fault::DropResponse) {
        return Err(http::dropped_by_fault());
    }
    engine
        .shared
        .faults
        .wait_until_cleared(&Fault::Unresponsive)
        .await;
    Ok(http::ok(&run.completion.document()))
}

async fn run_stream(
    engine: Arc<RunningEngine>,
    run: CompletionRun,
    tx: mpsc::Sender<io::Result<Bytes>>,
) {
    let stopped = engine.stopped.clone();
    let mut cancelled = engine.batch.cancelled.subscribe();
    let id = run.request_id.clone();
    tokio::select! {
        () = wait_for_closed_connections(&stopped) => {}
        _ = cancelled.wait_for(|ids| !id.is_empty() && ids.contains(&id)) => {}
        () = send_events(&engine, &run, tx) => {}
    }
}

/// Waits until the connections of a crashed engine are closed: dropping the sender
/// of a response earlier would look like a complete response.
async fn wait_for_closed_connections(stopped: &CancellationToken) {
    stopped.cancelled().await;
    tokio::time::sleep(CONNECTION_CLOSE_TIME).await;
}

async fn send_events(
    engine: &RunningEngine,
    run: &CompletionRun,
    tx: mpsc::Sender<io::Result<Bytes>>,
) {
    let faults = &engine.shared.faults;
    let slot = engine.batch.acquire_slot(run.rank).await;
    let mut steps = engine.batch.step.subscribe();
    for index in run.skip..run.completion.event_count() {
        if index < run.completion.tokens {
            crash_if_due(engine, run, index - run.skip);
            engine.next_step(&mut steps).await;
        }
        faults.wait_until_cleared(&Fault::Unresponsive).await;
        match faults.find(|fault| fault_at_event(fault, index)) {
            Some(Fault::EndEarly(_)) => return,
            Some(_) => {
                // Fails if the connection is closed already.
                let _ = tx.send(Err(http::dropped_by_fault())).await;
                return;
            }
            None => {}
        }
        if tx.send(Ok(run.completion.event(index))).await.is_err() {
            return;
        }
    }
    drop(slot);
    engine.batch.cache_prefix(run.completion.prefix_hash());
}

fn fault_at_event(fault: &Fault, index: u64) -> Option<Fault> {
    match fault {
        Fault::EndEarly(events) | Fault::CloseAfter(events) if index >= *events => {
            Some(fault.clone())
        }
        Fault::DropResponse => Some(fault.clone()),
        _ => None,
    }
}

fn crash_if_due(engine: &RunningEngine, run: &CompletionRun, step: u64) {
    if run.crashes && step >= STEPS_BEFORE_CRASH {
        engine.inject_fault(Fault::Crash);
    }
}

fn new_instance_id() -> String {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    format!("{:x}", since_epoch.unwrap_or_default().as_nanos())
}

pub(crate) fn info(engine: &RunningEngine) -> Value {
    let cfg = &engine.shared.cfg;
    json!({
        "models": cfg.models,
        "adapters": cfg.adapters,
        "versions": cfg.versions,
        "ranks": cfg.ranks,
        "resume": true,
        "cancel": true,
        "priority": true,
        "checks_fencing": cfg.fencing_check == crate::FencingCheck::Refuse,
        "exports_kv": false,
        "waits_for_map": cfg.waits_for_map,
        "instance": engine.instance,
    })
}
