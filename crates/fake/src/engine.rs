//! A model engine.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::batch::{Batch, lock};
use crate::collective_member::CollectiveMember;
use crate::completion::{Completion, Form};
use crate::expert_state::ExpertState;
use crate::faults::Faults;
use crate::http::{self, Reply};
use crate::seen_log::SeenLog;
use crate::{EngineSettings, Fault, RecordedRequest, life, orders};

/// Steps that a request which crashes the engine runs before it does.
const STEPS_TO_CRASH: u64 = 2;

/// An idle engine steps at this pace when its settings give no step time.
const IDLE_STEP: Duration = Duration::from_millis(1);

/// By then the connections of a dead engine are closed.
const CLOSING: Duration = Duration::from_secs(1);

/// Events that wait for a slow reader.
const EVENT_QUEUE: usize = 16;

/// A model engine on loopback.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    address: SocketAddr,
    life: Mutex<Arc<Life>>,
}

/// What outlives the engine's deaths.
#[derive(Debug)]
pub(crate) struct Shared {
    pub cfg: EngineSettings,
    pub faults: Faults,
    pub log: SeenLog,
}

/// What is lost when the engine dies.
#[derive(Debug)]
pub(crate) struct Life {
    pub shared: Arc<Shared>,
    pub batch: Batch,
    pub experts: watch::Sender<ExpertState>,
    pub dead: CancellationToken,
    /// Differs after each restart.
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
            log: SeenLog::default(),
        });
        let (life, address) = Life::start(Arc::clone(&shared), address).await?;
        Ok(Engine {
            shared,
            address,
            life: Mutex::new(life),
        })
    }

    /// Starts again at the same address after a death; maps, cache and
    /// fencing number are those of a fresh engine.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn restart(&self) -> io::Result<()> {
        self.life().dead.cancel();
        self.shared.faults.clear();
        let (life, _) = Life::start(Arc::clone(&self.shared), self.address).await?;
        *lock(&self.life) = life;
        Ok(())
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The latest completions and orders that reached it, oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<RecordedRequest> {
        self.shared.log.list()
    }

    /// Requests that run now.
    #[must_use]
    pub fn running_requests(&self) -> u64 {
        let life = self.life();
        let load = life.batch.load(&[], Duration::ZERO);
        load["running"].as_u64().unwrap_or_default()
    }

    /// Each map version that ran, with its first step.
    #[must_use]
    pub fn map_history(&self) -> Vec<(u64, u64)> {
        self.life().experts.borrow().history.clone()
    }

    /// The state that `GET /map` gives.
    #[must_use]
    pub fn map_state(&self) -> Value {
        self.life().experts.borrow().to_json()
    }

    /// Switches a fault on.
    pub fn inject_fault(&self, fault: Fault) {
        self.life().inject_fault(fault);
    }

    /// Switches all faults off; a dead engine stays dead.
    pub fn clear_faults(&self) {
        self.shared.faults.clear();
    }

    fn life(&self) -> Arc<Life> {
        Arc::clone(&lock(&self.life))
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.life().dead.cancel();
    }
}

impl Life {
    async fn start(
        shared: Arc<Shared>,
        address: SocketAddr,
    ) -> io::Result<(Arc<Life>, SocketAddr)> {
        let life = Arc::new(Life {
            batch: Batch::new(shared.cfg.max_running),
            experts: watch::Sender::new(ExpertState::new(&shared.cfg)),
            dead: CancellationToken::new(),
            instance: instance(),
            shared,
        });
        let dead = life.dead.clone();
        let address = life::serve(address, Arc::clone(&life), dead, handle).await?;
        tokio::spawn(run_steps(Arc::clone(&life)));
        Ok((life, address))
    }

    pub fn inject_fault(&self, fault: Fault) {
        if fault == Fault::Crash {
            self.dead.cancel();
        } else {
            self.shared.faults.add(fault);
        }
    }

    pub fn step_time(&self) -> Duration {
        self.shared.faults.slowed(self.shared.cfg.step_time)
    }

    /// Waits for the next step, or goes on at once without a step time.
    async fn next_step(&self, steps: &mut watch::Receiver<u64>) {
        if self.dead.is_cancelled() {
            std::future::pending::<()>().await;
        }
        if self.shared.cfg.step_time.is_zero() {
            self.shared.faults.wait_out(&Fault::Stall).await;
            return;
        }
        let _ = steps.changed().await;
    }
}

async fn run_steps(life: Arc<Life>) {
    let dead = life.dead.clone();
    tokio::select! {
        () = dead.cancelled() => {}
        () = step_for_ever(&life) => {}
    }
}

async fn step_for_ever(life: &Arc<Life>) {
    let cfg = &life.shared.cfg;
    let mut member = cfg
        .collective
        .map(|address| CollectiveMember::join(address, Arc::clone(life)));
    let mut step = 0;
    loop {
        tokio::time::sleep(life.step_time().max(IDLE_STEP)).await;
        life.shared.faults.wait_out(&Fault::Stall).await;
        step = match &mut member {
            Some(member) => member.after(step).await,
            None => step + 1,
        };
        let mut experts = life.experts.subscribe();
        let _ = experts.wait_for(|experts| experts.may_run(step)).await;
        life.experts.send_modify(|experts| {
            experts.run(step);
            experts.count(&cfg.popularity, cfg.drift_steps);
        });
        if let Some(member) = &member {
            member.end(&life.experts.borrow());
        }
        life.batch.step.send_replace(step);
    }
}

async fn handle(life: Arc<Life>, req: Request<Incoming>) -> Reply {
    let seen = http::read(req).await?;
    let path = seen.path.clone();
    if let Some(name) = path.strip_prefix("/fault/") {
        return Ok(orders::switch(&life, name, &seen));
    }
    life.shared.faults.wait_out(&Fault::Unresponsive).await;
    if path == "/v1/chat/completions" {
        return complete(life, seen).await;
    }
    orders::handle(&life, seen)
}

async fn complete(life: Arc<Life>, seen: RecordedRequest) -> Reply {
    if life.shared.faults.has(&Fault::Refuse) {
        return Ok(http::problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "refused by fault",
        ));
    }
    let completion = match Completion::parse(&seen.body, life.shared.cfg.default_max_tokens) {
        Ok(completion) => completion,
        Err(e) => return Ok(http::problem(StatusCode::BAD_REQUEST, &e.to_string())),
    };
    let run = Run {
        request: seen.header("x-request-id").unwrap_or_default().to_owned(),
        skip: number(&seen, "x-resume-events"),
        rank: u32::try_from(number(&seen, "x-rank")).unwrap_or_default(),
        crashes: life.shared.faults.crashes(&seen.body),
        completion,
    };
    life.shared.log.push(seen);
    match run.completion.form {
        Form::Document => document(&life, &run).await,
        Form::Events => {
            let (tx, body) = Channel::new(EVENT_QUEUE);
            tokio::spawn(events(life, run, tx));
            Ok(http::stream(body))
        }
    }
}

/// One completion as it runs.
struct Run {
    request: String,
    skip: u64,
    rank: u32,
    crashes: bool,
    completion: Completion,
}

fn number(seen: &RecordedRequest, header: &str) -> u64 {
    let value = seen.header(header).and_then(|value| value.parse().ok());
    value.unwrap_or_default()
}

async fn document(life: &Life, run: &Run) -> Reply {
    let slot = life.batch.enter(run.rank).await;
    let mut steps = life.batch.step.subscribe();
    for at in 0..run.completion.tokens {
        crash(life, run, at);
        life.next_step(&mut steps).await;
    }
    drop(slot);
    life.batch.store(run.completion.prefix());
    if life.shared.faults.has(&Fault::DropResponse) {
        return Err(http::lost());
    }
    life.shared.faults.wait_out(&Fault::Unresponsive).await;
    Ok(http::ok(&run.completion.document()))
}

async fn events(life: Arc<Life>, run: Run, tx: Sender<Bytes, io::Error>) {
    let dead = life.dead.clone();
    let mut cancelled = life.batch.cancelled.subscribe();
    let request = run.request.clone();
    tokio::select! {
        () = closed_after(&dead) => {}
        _ = cancelled.wait_for(|all| !request.is_empty() && all.contains(&request)) => {}
        () = send_events(&life, &run, tx) => {}
    }
}

/// The connection is closed first: an answer whose sender goes before it would
/// seem to end properly.
async fn closed_after(dead: &CancellationToken) {
    dead.cancelled().await;
    tokio::time::sleep(CLOSING).await;
}

async fn send_events(life: &Life, run: &Run, mut tx: Sender<Bytes, io::Error>) {
    let faults = &life.shared.faults;
    let slot = life.batch.enter(run.rank).await;
    let mut steps = life.batch.step.subscribe();
    for at in run.skip..run.completion.events() {
        if at < run.completion.tokens {
            crash(life, run, at - run.skip);
            life.next_step(&mut steps).await;
        }
        faults.wait_out(&Fault::Unresponsive).await;
        match faults.find(|fault| early_end(fault, at)) {
            Some(Fault::EndEarly(_)) => return,
            Some(_) => return tx.abort(http::lost()),
            None => {}
        }
        if tx.send_data(run.completion.event(at)).await.is_err() {
            return;
        }
    }
    drop(slot);
    life.batch.store(run.completion.prefix());
}

fn early_end(fault: &Fault, at: u64) -> Option<Fault> {
    match fault {
        Fault::EndEarly(events) | Fault::CloseAfter(events) if at >= *events => Some(fault.clone()),
        Fault::DropResponse => Some(fault.clone()),
        _ => None,
    }
}

fn crash(life: &Life, run: &Run, step: u64) {
    if run.crashes && step >= STEPS_TO_CRASH {
        life.inject_fault(Fault::Crash);
    }
}

fn instance() -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    format!("{:x}", since.unwrap_or_default().as_nanos())
}

pub(crate) fn info(life: &Life) -> Value {
    let cfg = &life.shared.cfg;
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
        "instance": life.instance,
    })
}
