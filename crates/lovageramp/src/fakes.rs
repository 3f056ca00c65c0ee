//! `lovageramp fake`: the stand-ins for a target, as a process of their own.

use crate::daemon::{Ready, asked_to_end};
use bpaf::{Bpaf, Parser};
use fake::{Engine, EngineSettings, Service, ServiceSettings};
use std::net::SocketAddr;
use std::time::Duration;

/// What to stand in for.
#[derive(Bpaf, Clone, Debug)]
pub enum FakeOptions {
    /// A model engine
    #[bpaf(command("engine"))]
    Engine {
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
    },
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
        FakeOptions::Engine {
            listen,
            rank,
            model,
            version_name,
            step_ms,
            limit,
        } => {
            let ranks = if rank.is_empty() { vec![0] } else { rank };
            let engine = Engine::start(EngineSettings {
                address: listen,
                ranks,
                models: vec![model],
                versions: vec![version_name],
                step: Duration::from_millis(step_ms),
                limit,
                ..EngineSettings::default()
            })
            .await?;
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
