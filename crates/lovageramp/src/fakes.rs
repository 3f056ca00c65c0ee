//! `lovageramp fake`: the stand-ins for a target, as a process of their own.

use crate::daemon::{Ready, asked_to_end};
use bpaf::{Bpaf, Parser};
use fake::{Engine, EngineSettings, FencingCheck, Service, ServiceSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// What to stand in for.
#[derive(Bpaf, Clone, Debug)]
pub enum FakeOptions {
    /// A model engine
    #[bpaf(command("engine"))]
    Engine(#[bpaf(external(engine_options))] EngineOptions),
    /// A plain service
    #[bpaf(command("service"))]
    Service {
        /// Where it listens; port 0 is the kernel's choice
        #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
        listen: SocketAddr,
        /// Milliseconds between a request and its answer
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u64,
    },
}

/// How a model engine behaves.
#[derive(Bpaf, Clone, Debug)]
pub struct EngineOptions {
    /// Where it listens; port 0 is the kernel's choice
    #[bpaf(argument("IP:PORT"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    listen: SocketAddr,
    /// Rank that it runs; may be given more than once
    #[bpaf(argument("N"), many)]
    rank: Vec<u32>,
    /// Model that it serves
    #[bpaf(argument("NAME"), fallback("burl-notes".to_owned()))]
    model: String,
    /// Version of the model
    #[bpaf(argument("NAME"), fallback("2026-11".to_owned()))]
    version_name: String,
    /// Milliseconds of a step
    #[bpaf(argument("MS"), fallback(2))]
    step_ms: u64,
    /// Requests that it runs at once
    #[bpaf(argument("N"), fallback(64))]
    limit: u32,
    /// Layers with experts
    #[bpaf(argument("N"), fallback(2))]
    layers: usize,
    /// Tokens of an expert in each step; given once for each expert
    #[bpaf(argument("N"), many)]
    popularity: Vec<u32>,
    /// Steps after which the popularity moves on by one expert
    #[bpaf(argument("N"), fallback(0))]
    drift_steps: u64,
    /// Milliseconds that staging an expert map takes
    #[bpaf(argument("MS"), fallback(0))]
    stage_ms: u64,
    /// Weight store that it loads experts from
    #[bpaf(argument("IP:PORT"), optional)]
    weights: Option<SocketAddr>,
    /// Collective in which the engines of its group step
    #[bpaf(argument("IP:PORT"), optional)]
    collective: Option<SocketAddr>,
    /// Wait after a start until it is told which expert maps are in force
    waits: bool,
    /// Refuse orders with an old fencing number
    checks_fencing: bool,
}

impl EngineOptions {
    fn into_settings(self) -> EngineSettings {
        let defaults = EngineSettings::default();
        let or = |given: Vec<u32>, default| if given.is_empty() { default } else { given };
        let fencing = if self.checks_fencing {
            FencingCheck::Refuse
        } else {
            FencingCheck::Ignore
        };
        EngineSettings {
            address: self.listen,
            ranks: or(self.rank, defaults.ranks),
            models: vec![self.model],
            versions: vec![self.version_name],
            step_time: Duration::from_millis(self.step_ms),
            max_running: self.limit,
            fencing_check: fencing,
            staging_time: Duration::from_millis(self.stage_ms),
            weight_store: self.weights,
            layers: self.layers,
            popularity: or(self.popularity, defaults.popularity),
            drift_steps: self.drift_steps,
            collective: self.collective,
            waits_for_map: self.waits,
            ..EngineSettings::default()
        }
    }
}

/// The parser of `lovageramp fake`.
#[must_use]
pub fn options() -> impl Parser<FakeOptions> {
    fake_options()
}

/// Runs a stand-in until SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when its address can't be had.
pub async fn run(options: FakeOptions) -> eyre::Result<()> {
    match options {
        FakeOptions::Engine(options) => {
            let engine = Engine::start(options.into_settings()).await?;
            until_asked("engine", engine.address()).await
        }
        FakeOptions::Service { listen, delay_ms } => {
            let service = Service::start(ServiceSettings {
                address: listen,
                delay: Duration::from_millis(delay_ms),
                ..ServiceSettings::default()
            })
            .await?;
            until_asked("service", service.address()).await
        }
    }
}

async fn until_asked(name: &str, http: SocketAddr) -> eyre::Result<()> {
    Ready {
        name,
        links: None,
        http,
    }
    .print()?;
    asked_to_end().await
}
