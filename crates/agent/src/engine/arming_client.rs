//! Client of engines whose ranks take separate commands to arm and to hold.

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
use outlet::{ClientSettings, Connection, Failure, Pool, SendError};
use serde::Deserialize;
use tokio::time::timeout;

use super::{ArmingAction, ArmingCommand, ArmingDialect, ArmingState};
use super::{CommandFailure, CommandReply, ExpertCounts, MapCommand, MapState, RankCounts};

/// How often a command is sent before its outcome counts as unknown. If every
/// second answer is lost, one command in a million stays unknown.
const MAX_TRIES: u32 = 40;
/// Refused connections after which the engine is taken to be down.
const MAX_REFUSED_CONNECTIONS: u32 = 3;
/// Timeout of one try, several times what an engine on the same host needs. It
/// is short because the whole group may wait for the command, and sending it
/// again is harmless.
const LOCAL_TRY_TIMEOUT: Duration = Duration::from_millis(25);
/// Timeout of one try at an engine on another host.
const REMOTE_TRY_TIMEOUT: Duration = Duration::from_millis(60);
/// Idle connections kept: one for queries, one for commands.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// How long a connection is kept idle: several times the query interval.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Low bits of an engine fencing number that count the commands sent under one
/// fencing number of control.
const SERIAL_BITS: u32 = 30;
/// First serial of the upper half, which is reserved for a coordinator that
/// sends commands in place of the rank's own agent.
const COORDINATOR_SERIAL: u64 = 1 << (SERIAL_BITS - 1);
/// Low bits of the serial that count the commands sent within one second.
const COMMAND_BITS: u32 = 10;

/// Client of one rank.
#[derive(Debug)]
pub(crate) struct ArmingClient {
    address: SocketAddr,
    dialect: ArmingDialect,
    cfg: ClientSettings,
    /// Connections are reused because some engines accept few of them, and
    /// queries are sent several times a second.
    pool: Pool,
    /// Version of the map that the rank was last told to load.
    requested: AtomicU64,
    serial: AtomicU64,
    /// Timeout of one try of a command.
    try_timeout: Duration,
}

/// The decided switches, as a coordinator needs them to release a rank whose own
/// agent doesn't answer.
#[derive(Clone, Debug)]
pub(crate) struct DecidedSwitches {
    /// Fencing number of the releasing coordinator; it needs a higher one for
    /// its next switch.
    pub fencing: u64,
    /// Newest decided version.
    pub newest: u64,
    /// Committed versions; all other decided versions are aborted.
    pub committed: BTreeSet<u64>,
}

/// The part of a map document that is used here.
#[derive(Deserialize)]
struct Document {
    layers: Vec<Vec<Vec<Option<u16>>>>,
}

impl ArmingClient {
    pub fn new(address: SocketAddr, dialect: ArmingDialect, cfg: ClientSettings) -> Self {
        // The serial starts at the wall clock, so that commands which this
        // agent sent before a restart have lower numbers.
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let seconds = since.map_or(0, |since| since.as_secs());
        let serial = (seconds << COMMAND_BITS) & (COORDINATOR_SERIAL - 1);
        ArmingClient {
            address,
            dialect,
            cfg,
            pool: Pool::new(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT),
            requested: AtomicU64::new(0),
            serial: AtomicU64::new(serial),
            try_timeout: LOCAL_TRY_TIMEOUT,
        }
    }

    pub async fn state(&self) -> Result<ArmingState, Failure> {
        let body = self.get(self.dialect.state_path).await?;
        (self.dialect.state)(&body).ok_or_else(|| malformed("state"))
    }

    /// A client of another rank with the same dialect.
    pub fn peer_client(&self, address: SocketAddr) -> ArmingClient {
        let mut engine = ArmingClient::new(address, self.dialect, self.cfg.clone());
        engine.try_timeout = REMOTE_TRY_TIMEOUT;
        // Higher than any serial that the rank's own agent uses.
        engine.serial = AtomicU64::new(COORDINATOR_SERIAL);
        engine
    }

    /// Sends a held rank the outcome of its switch in place of its own agent.
    /// Returns whether the rank was held and has been released.
    pub async fn release_rank(&self, decided: &DecidedSwitches) -> Result<bool, Failure> {
        let state = self.state().await?;
        let (Some(step), Some(formation)) = (state.held, state.formation) else {
            return Ok(false);
        };
        let version = state.armed.map(|(version, _)| version).or(state.prepared);
        let Some(version) = version.filter(|version| *version <= decided.newest) else {
            // Not decided yet.
            return Ok(false);
        };
        let command = if decided.committed.contains(&version) {
            MapCommand::Commit { version, step }
        } else {
            MapCommand::Abort { version, step }
        };
        let actions = actions(&command, &state).map_err(|e| Failure::Broken(format!("{e:?}")))?;
        for action in actions {
            let sent = self.send_action(decided.fencing, formation, action).await;
            sent.map_err(|e| Failure::Broken(format!("{e:?}")))?;
        }
        log::warn!(
            group = state.group.as_str(), rank = state.rank, version = version, step = step;
            "released a rank in place of its agent"
        );
        Ok(true)
    }

    pub async fn map(&self) -> Result<MapState, Failure> {
        let state = self.state().await?;
        let requested = Some(self.requested.load(Ordering::Relaxed));
        // Ranks don't report loading: a version that was requested and isn't
        // there yet counts as being loaded.
        let loading =
            requested.filter(|requested| *requested > state.prepared.unwrap_or(state.version));
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
        let counts = (self.dialect.counts)(&body).ok_or_else(|| malformed("counts"))?;
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

    pub async fn send_command(
        &self,
        fencing: u64,
        command: &MapCommand,
    ) -> Result<CommandReply, CommandFailure> {
        let state = self.state().await.map_err(CommandFailure::Failed)?;
        let formation = state.formation.unwrap_or(0);
        for action in actions(command, &state)? {
            self.send_action(fencing, formation, action).await?;
        }
        if let MapCommand::Stage { version, .. } = command {
            self.requested.store(*version, Ordering::Relaxed);
        }
        Ok(CommandReply {
            step: state.step,
            ready: true,
            held: true,
            known: true,
        })
    }

    /// Sends a command until it is answered, each time under a higher fencing
    /// number, so that the rank refuses earlier copies that arrive late.
    async fn send_action(
        &self,
        fencing: u64,
        formation: u64,
        action: ArmingAction,
    ) -> Result<(), CommandFailure> {
        let mut failure = Failure::NotRun("not tried".to_owned());
        let mut refused_connections = 0;
        for _ in 0..MAX_TRIES {
            let command = ArmingCommand {
                action: action.clone(),
                fencing: self.next_fencing(fencing),
                formation,
            };
            match self.send(&command).await {
                Ok(StatusCode::PRECONDITION_FAILED) => {
                    // This agent used higher serials before its restart.
                    self.serial.fetch_add(1 << COMMAND_BITS, Ordering::Relaxed);
                }
                Ok(status) if status.is_success() => return Ok(()),
                Ok(status) if status.is_client_error() => {
                    let reason = format!("{:?} answered {status}", command.action);
                    return Err(CommandFailure::Refused(reason));
                }
                Ok(status) => failure = Failure::Broken(format!("command answered {status}")),
                Err(e @ Failure::NotRun(_)) if refused_connections < MAX_REFUSED_CONNECTIONS => {
                    refused_connections += 1;
                    failure = e;
                }
                Err(e @ Failure::NotRun(_)) => return Err(CommandFailure::Failed(e)),
                Err(e) => failure = e,
            }
        }
        Err(CommandFailure::Failed(failure))
    }

    fn next_fencing(&self, fencing: u64) -> u64 {
        let serial = self.serial.fetch_add(1, Ordering::Relaxed);
        let serial = serial.min((1 << SERIAL_BITS) - 1);
        (fencing << SERIAL_BITS) + serial
    }

    async fn send(&self, command: &ArmingCommand) -> Result<StatusCode, Failure> {
        let body = (self.dialect.command)(command);
        let req = self.build_request(Method::POST, self.dialect.command_path, body.into())?;
        let cfg = ClientSettings {
            connect_timeout: self.try_timeout,
            head_timeout: self.try_timeout,
            request_timeout: self.try_timeout,
            ..self.cfg.clone()
        };
        let (status, _) = self.request(&cfg, req).await?;
        Ok(status)
    }

    async fn get(&self, path: &str) -> Result<Bytes, Failure> {
        let req = self.build_request(Method::GET, path, Bytes::new())?;
        let (status, body) = self.request(&self.cfg, req).await?;
        if !status.is_success() {
            return Err(Failure::Broken(format!("{path} answered {status}")));
        }
        Ok(body)
    }

    /// Sends a request on an idle connection, or else on a new one. All requests
    /// sent here may be repeated.
    async fn request(
        &self,
        cfg: &ClientSettings,
        mut req: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), Failure> {
        while let Some(mut conn) = self.pool.take(Instant::now()) {
            if !conn.is_ready(cfg).await || !conn.is_idle() {
                continue;
            }
            match conn.try_send(req, cfg.request_timeout).await {
                Ok(response) => return self.read(cfg, response, conn).await,
                Err(SendError::Failed(failure)) => return Err(failure),
                Err(SendError::Unwritten(unwritten)) => req = *unwritten,
            }
        }
        let mut conn = Connection::open(self.address, cfg).await?;
        let response = conn.send(req, cfg.request_timeout).await?;
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
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = match timeout(cfg.request_timeout, body).await {
            Ok(body) => body.map_err(|e| Failure::Broken(e.to_string()))?,
            Err(_) => return Err(Failure::Silent("no complete answer in time".to_owned())),
        };
        if !closes && conn.prepare_for_reuse(cfg).is_ok() {
            self.pool.put(conn, Instant::now());
        }
        Ok((status, body.to_bytes()))
    }

    fn build_request(
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

fn malformed(what: &str) -> Failure {
    Failure::Broken(format!("the {what} can't be read"))
}

/// The rank commands that make up one map command.
fn actions(command: &MapCommand, state: &ArmingState) -> Result<Vec<ArmingAction>, CommandFailure> {
    Ok(match command {
        MapCommand::Stage { version, map } => vec![ArmingAction::Prepare {
            version: *version,
            map: parse_map(map)?,
        }],
        // Hold comes first: after it, no step begins on a different map than
        // the other ranks use, however long arming takes.
        MapCommand::Hold { version, step } => vec![
            ArmingAction::Hold { step: *step },
            ArmingAction::Arm {
                version: *version,
                step: *step,
            },
        ],
        MapCommand::Commit { step, .. } => vec![ArmingAction::Go { step: *step }],
        MapCommand::Abort { version, .. } => {
            let mut actions = vec![ArmingAction::Disarm { version: *version }];
            actions.extend(state.held.map(|step| ArmingAction::Go { step }));
            actions
        }
        // Such an engine starts each formation on its initial map by itself.
        MapCommand::Join { .. } => Vec::new(),
    })
}

fn parse_map(map: &[u8]) -> Result<Vec<Vec<Vec<u16>>>, CommandFailure> {
    let document: Document = serde_json::from_slice(map)
        .map_err(|e| CommandFailure::Failed(Failure::NotRun(e.to_string())))?;
    let rank = |slots: Vec<Option<u16>>| slots.into_iter().flatten().collect();
    let layer = |ranks: Vec<Vec<Option<u16>>>| ranks.into_iter().map(rank).collect();
    Ok(document.layers.into_iter().map(layer).collect())
}
