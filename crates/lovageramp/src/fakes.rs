//! `lovageramp fake`: a fake target as a separate process.

use crate::daemon::{ReadyLine, shutdown_signal};
use bpaf::{Bpaf, Parser};
use fake::{Engine, EngineSettings, FencingCheck, Service, ServiceSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// Kind of fake target.
#[derive(Bpaf, Clone, Debug)]
pub enum FakeOptions {
    /// A model engine
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// A plain service
    #[bpaf(command("service"))]
    Service {
        /// Listening address; port 0 lets the kernel choose one
        #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// Milliseconds between a request and its response
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u64,
    },
}

/// Settings of a fake model engine.
#[derive(Bpaf, Clone, Debug)]
pub struct EngineOptions {
    /// Listening address; port 0 lets the kernel choose one
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Rank run by the engine; may be given more than once
    #[bpaf(argument("N"), many)]
    rank: Vec<u32>,
    /// Model served
    #[bpaf(argument("NAME"), fallback("burl-notes".to_owned()))]
    model: String,
    /// Version of the model
    #[bpaf(argument("NAME"), fallback("2026-11".to_owned()))]
    version_name: String,
    /// Duration of a step in milliseconds
    #[bpaf(argument("MS"), fallback(2))]
    step_ms: u64,
    /// Most requests running at the same time
    #[bpaf(argument("N"), fallback(64))]
    limit: u32,
    /// Number of layers with experts
    #[bpaf(argument("N"), fallback(2))]
    layers: usize,
    /// Tokens per step of an expert; given once for each expert
    #[bpaf(argument("N"), many)]
    popularity: Vec<u32>,
    /// Steps after which the popularity is rotated by one expert; 0 for never
    #[bpaf(argument("N"), fallback(0))]
    drift_steps: u64,
    /// Milliseconds that staging an expert map takes
    #[bpaf(argument("MS"), fallback(0))]
    stage_ms: u64,
    /// Address of the weight store that experts are loaded from
    #[bpaf(argument("IP:PORT"), optional)]
    weights: Option<SocketAddr>,
    /// Address of the collective that synchronizes the steps of the group
    #[bpaf(argument("IP:PORT"), optional)]
    collective: Option<SocketAddr>,
    /// Run no step after a start before being told which expert maps are in force
    waits: bool,
    /// Refuse commands with a stale fencing number
    checks_fencing: bool,
}

impl EngineOptions {
    fn into_settings(self) -> EngineSettings {
        let defaults = EngineSettings::default();
        let or_default = |given: Vec<u32>, default| if given.is_empty() { default } else { given };
        let fencing = if self.checks_fencing {
            FencingCheck::Refuse
        } else {
            FencingCheck::Ignore
        };
        EngineSettings {
            address: self.listen,
            ranks: or_default(self.rank, defaults.ranks),
            models: vec![self.model],
            versions: vec![self.version_name],
            step_time: Duration::from_millis(self.step_ms),
            max_running: self.limit,
            fencing_check: fencing,
            staging_time: Duration::from_millis(self.stage_ms),
            weight_store: self.weights,
            layers: self.layers,
            popularity: or_default(self.popularity, defaults.popularity),
            drift_steps: self.drift_steps,
            collective: self.collective,
            waits_for_map: self.waits,
            ..EngineSettings::default()
        }
    }
}

/// Parser of the options of `lovageramp fake`.
#[must_use]
pub fn options() -> impl Parser<FakeOptions> {
    fake_options()
}

/// Runs a fake target until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub async fn run(options: FakeOptions) -> eyre::Result<()> {
    match options {
        FakeOptions::Engine(options) => {
            let engine = Engine::start(options.into_settings()).await?;
            run_until_signal("engine", engine.address()).await
        }
        FakeOptions::Service { listen, delay_ms } => {
            let service = Service::start(ServiceSettings {
                address: listen,
                delay: Duration::from_millis(delay_ms),
                ..ServiceSettings::default()
            })
            .await?;
            run_until_signal("service", service.address()).await
        }
    }
}

async fn run_until_signal(name: &str, http: SocketAddr) -> eyre::Result<()> {
    ReadyLine {
        name,
        links: None,
        http,
    }
    .print()?;
    shutdown_signal().await
}
