//! Engines whose ranks are armed and held by orders of their own.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use expert::Arming;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use outlet::{ClientSettings, Connection, Failure, Pool, Unanswered};
use serde::Deserialize;
use tokio::time::timeout;

use super::{ArmingAction, ArmingCommand, ArmingDialect, ArmingState};
use super::{ExpertCounts, MapOrder, MapState, Obeyed, OrderFailure, RankCounts};

/// How often an order is sent before its outcome counts as unknown. With every
/// second answer lost, one order in a million stays unknown.
const TRIES: u32 = 40;
/// Refused connections in a row after which nobody is there to obey.
const ABSENT: u32 = 3;
/// Time of one try: several times what an engine on the same host needs. Until
/// an order is answered its whole group may wait, and to give it again is
/// harmless.
const TRY_WITHIN: Duration = Duration::from_millis(25);
/// Time of a try at the engine of another host.
const TRY_FAR_WITHIN: Duration = Duration::from_millis(60);
/// Connections that are kept: one for questions, one for orders.
const MOST_KEPT: usize = 2;
/// How long one is kept unused: several times the pause between questions.
const KEPT: Duration = Duration::from_secs(2);
/// Bytes of an answer at most.
const MOST_ANSWER: usize = 16 << 20;
/// Part of a fencing number that counts the orders under one number of control.
const SERIAL_BITS: u32 = 30;
/// The upper half of it is for those who give orders in an agent's place.
const TOP_SERIAL: u64 = 1 << (SERIAL_BITS - 1);
/// Left free in it for orders in one second.
const ORDER_BITS: u32 = 10;

/// One rank, as its agent speaks to it.
#[derive(Debug)]
pub(crate) struct ArmingEngine {
    address: SocketAddr,
    dialect: ArmingDialect,
    cfg: ClientSettings,
    /// Connections are dear to some engines, and questions come several times
    /// a second.
    pool: Pool,
    /// Version that it was last told to load.
    told: AtomicU64,
    serial: AtomicU64,
    /// Time of one try of an order.
    within: Duration,
}

/// What is decided about switches, for ranks that are let go in their agents'
/// place.
#[derive(Clone, Debug)]
pub(crate) struct Release {
    /// Number of the coordinator that lets them go; its next one must be higher.
    pub fencing: u64,
    /// Newest version that is decided.
    pub decided: u64,
    /// Versions that are committed; all other decided ones are given up.
    pub committed: BTreeSet<u64>,
}

/// The document of a map, as far as it is needed here.
#[derive(Deserialize)]
struct Document {
    layers: Vec<Vec<Vec<Option<u16>>>>,
}

impl ArmingEngine {
    pub fn new(address: SocketAddr, dialect: ArmingDialect, cfg: ClientSettings) -> Self {
        // Orders of a former life of this agent must count as older.
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let seconds = since.map_or(0, |since| since.as_secs());
        let serial = (seconds << ORDER_BITS) & (TOP_SERIAL - 1);
        ArmingEngine {
            address,
            dialect,
            cfg,
            pool: Pool::new(MOST_KEPT, KEPT),
            told: AtomicU64::new(0),
            serial: AtomicU64::new(serial),
            within: TRY_WITHIN,
        }
    }

    pub async fn state(&self) -> Result<ArmingState, Failure> {
        let body = self.get(self.dialect.state_path).await?;
        (self.dialect.state)(&body).ok_or_else(|| unreadable("state"))
    }

    /// The same engine's kind at another address.
    pub fn beside(&self, address: SocketAddr) -> ArmingEngine {
        let mut engine = ArmingEngine::new(address, self.dialect, self.cfg.clone());
        engine.within = TRY_FAR_WITHIN;
        // Higher than any number that the rank's own agent has used.
        engine.serial = AtomicU64::new(TOP_SERIAL);
        engine
    }

    /// Tells a rank in its agent's place what is decided about the switch that
    /// it has promised to wait for; whether it waited.
    pub async fn let_go(&self, release: &Release) -> Result<bool, Failure> {
        let state = self.state().await?;
        let (Some(step), Some(formation)) = (state.held, state.formation) else {
            return Ok(false);
        };
        let version = state.armed.map(|(version, _)| version).or(state.prepared);
        let Some(version) = version.filter(|version| *version <= release.decided) else {
            // Nobody may say yet what becomes of it.
            return Ok(false);
        };
        let order = if release.committed.contains(&version) {
            MapOrder::Commit { version, step }
        } else {
            MapOrder::Abort { version, step }
        };
        let bodies = bodies(&order, &state).map_err(|e| Failure::Broken(format!("{e:?}")))?;
        for body in bodies {
            let given = self.give(release.fencing, formation, body).await;
            given.map_err(|e| Failure::Broken(format!("{e:?}")))?;
        }
        log::warn!(
            group = state.group.as_str(), rank = state.rank, version = version, step = step;
            "rank let go in its agent's place"
        );
        Ok(true)
    }

    pub async fn map(&self) -> Result<MapState, Failure> {
        let state = self.state().await?;
        let told = Some(self.told.load(Ordering::Relaxed));
        // A rank doesn't say that it loads; what it was told and doesn't have
        // yet it is taken to load.
        let loading = told.filter(|told| *told > state.prepared.unwrap_or(state.version));
        let next = state.armed.map(|(version, _)| version);
        Ok(MapState {
            step: state.step,
            version: state.version,
            loading,
            staged: state.prepared,
            next: next.filter(|_| state.held.is_none()),
            held: state.held,
            waits: true,
            waiting: false,
            formation: Some(state.formation.unwrap_or(0)),
            ranks: (0..state.ranks).collect(),
            fencing: 0,
            arming: Some(match state.armed {
                Some(_) => Arming::Armed,
                None => Arming::Unarmed,
            }),
        })
    }

    pub async fn experts(&self, step_us: u32) -> Result<ExpertCounts, Failure> {
        let state = self.state().await?;
        let body = self.get(self.dialect.counts_path).await?;
        let counts = (self.dialect.counts)(&body).ok_or_else(|| unreadable("counts"))?;
        Ok(ExpertCounts {
            step: state.step,
            map_version: state.version,
            ranks: vec![RankCounts {
                rank: state.rank,
                step_us,
                slowdown: Some(state.slowdown),
                tokens: vec![counts],
            }],
        })
    }

    pub async fn order(&self, fencing: u64, order: &MapOrder) -> Result<Obeyed, OrderFailure> {
        let state = self.state().await.map_err(OrderFailure::Failed)?;
        let formation = state.formation.unwrap_or(0);
        for body in bodies(order, &state)? {
            self.give(fencing, formation, body).await?;
        }
        if let MapOrder::Stage { version, .. } = order {
            self.told.store(*version, Ordering::Relaxed);
        }
        Ok(Obeyed {
            step: state.step,
            ready: true,
            held: true,
            known: true,
        })
    }

    /// Sends an order until it is answered, each time under a higher number:
    /// of the former ones, which may still be obeyed late, the rank then
    /// refuses each.
    async fn give(
        &self,
        fencing: u64,
        formation: u64,
        body: ArmingAction,
    ) -> Result<(), OrderFailure> {
        let mut failure = Failure::NotRun("not tried".to_owned());
        let mut absent = 0;
        for _ in 0..TRIES {
            let order = ArmingCommand {
                action: body.clone(),
                fencing: self.number(fencing),
                formation,
            };
            match self.send(&order).await {
                Ok(StatusCode::PRECONDITION_FAILED) => {
                    // A former life of this agent was further on.
                    self.serial.fetch_add(1 << ORDER_BITS, Ordering::Relaxed);
                }
                Ok(status) if status.is_success() => return Ok(()),
                Ok(status) if status.is_client_error() => {
                    let refused = format!("{:?} answered {status}", order.action);
                    return Err(OrderFailure::Refused(refused));
                }
                Ok(status) => failure = Failure::Broken(format!("order answered {status}")),
                Err(e @ Failure::NotRun(_)) if absent < ABSENT => {
                    absent += 1;
                    failure = e;
                }
                Err(e @ Failure::NotRun(_)) => return Err(OrderFailure::Failed(e)),
                Err(e) => failure = e,
            }
        }
        Err(OrderFailure::Failed(failure))
    }

    fn number(&self, fencing: u64) -> u64 {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let serial = serial.min((1 << SERIAL_BITS) - 1);
        (fencing << SERIAL_BITS) + serial
    }

    async fn send(&self, order: &ArmingCommand) -> Result<StatusCode, Failure> {
        let body = (self.dialect.command)(order);
        let req = self.request(Method::POST, self.dialect.command_path, body.into())?;
        let cfg = ClientSettings {
            connect: self.within,
            head: self.within,
            question: self.within,
            ..self.cfg.clone()
        };
        let (status, _) = self.ask(&cfg, req).await?;
        Ok(status)
    }

    async fn get(&self, path: &str) -> Result<Bytes, Failure> {
        let req = self.request(Method::GET, path, Bytes::new())?;
        let (status, body) = self.ask(&self.cfg, req).await?;
        if !status.is_success() {
            return Err(Failure::Broken(format!("{path} answered {status}")));
        }
        Ok(body)
    }

    /// Asks on a kept connection, or on a fresh one. Whatever is asked here may
    /// be asked twice.
    async fn ask(
        &self,
        cfg: &ClientSettings,
        mut req: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        while let Some(mut conn) = self.pool.take(Instant::now()) {
            if !conn.is_ready(cfg).await || !conn.is_quiet() {
                continue;
            }
            match conn.try_send(req, cfg.question).await {
                Ok(response) => return self.read(cfg, response, conn).await,
                Err(Unanswered::Failed(failure)) => return Err(failure),
                Err(Unanswered::Unwritten(unwritten)) => req = *unwritten,
            }
        }
        let mut conn = Connection::open(self.address, cfg).await?;
        let response = conn.send(req, cfg.question).await?;
        self.read(cfg, response, conn).await
    }

    async fn read(
        &self,
        cfg: &ClientSettings,
        response: Response<Incoming>,
        mut conn: Connection,
    ) -> Result<(StatusCode, Bytes), Failure> {
        let status = response.status();
        let closes = response.headers().contains_key(CONNECTION);
        let body = Limited::new(response.into_body(), MOST_ANSWER).collect();
        let body = match timeout(cfg.question, body).await {
            Ok(body) => body.map_err(|e| Failure::Broken(e.to_string()))?,
            Err(_) => return Err(Failure::Silent("no whole answer in time".to_owned())),
        };
        if !closes && conn.keep(cfg).is_ok() {
            self.pool.put(conn, Instant::now());
        }
        Ok((status, body.to_bytes()))
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let json = HeaderValue::from_static("application/json");
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, json)
            .body(Full::new(body))
            .map_err(|e| Failure::NotRun(e.to_string()))
    }
}

fn unreadable(what: &str) -> Failure {
    Failure::Broken(format!("the {what} can't be read"))
}

/// The rank's own orders that make up one order of a switch.
fn bodies(order: &MapOrder, state: &ArmingState) -> Result<Vec<ArmingAction>, OrderFailure> {
    Ok(match order {
        MapOrder::Stage { version, map } => vec![ArmingAction::Prepare {
            version: *version,
            map: lists(map)?,
        }],
        // Held first: once it is, no step begins on another map than the
        // others use, however long arming takes.
        MapOrder::Hold { version, step } => vec![
            ArmingAction::Hold { step: *step },
            ArmingAction::Arm {
                version: *version,
                step: *step,
            },
        ],
        MapOrder::Commit { step, .. } => vec![ArmingAction::Go { step: *step }],
        MapOrder::Abort { version, .. } => {
            let mut bodies = vec![ArmingAction::Disarm { version: *version }];
            bodies.extend(state.held.map(|step| ArmingAction::Go { step }));
            bodies
        }
        // Such an engine starts each formation on its start map by itself.
        MapOrder::Join { .. } => Vec::new(),
    })
}

fn lists(map: &[u8]) -> Result<Vec<Vec<Vec<u16>>>, OrderFailure> {
    let document: Document = serde_json::from_slice(map)
        .map_err(|e| OrderFailure::Failed(Failure::NotRun(e.to_string())))?;
    let rank = |slots: Vec<Option<u16>>| slots.into_iter().flatten().collect();
    let layer = |ranks: Vec<Vec<Option<u16>>>| ranks.into_iter().map(rank).collect();
    Ok(document.layers.into_iter().map(layer).collect())
}
