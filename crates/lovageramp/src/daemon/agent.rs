//! The `lovageramp-agent` daemon.

use super::options::{options, with_description};
use super::ready_line::ReadyLine;
use super::runner::{Daemon, run};
use super::signals::ShutdownSignal;
use agent::{Agent, Listeners, Settings};
use std::process::ExitCode;

const ABOUT: &str = "The process next to a target, which receives all requests for it.";
const FOOTER: &str = "\
Examples:
  lovageramp-agent --settings advisor-01.json --check
  lovageramp-agent --settings advisor-01.json --log info,wire=debug

Exit codes: 0 stopped by a signal, 1 findings in the settings or failure, 2 usage error.";

/// Runs the daemon from the command line.
#[must_use]
pub fn run_agent() -> ExitCode {
    let options = with_description(options(), ABOUT, FOOTER).run();
    run(
        &options,
        Daemon {
            name: "lovageramp-agent",
            parse: Settings::from_slice,
            effective: Settings::effective,
            serve,
        },
    )
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let mut shutdown = ShutdownSignal::install()?;
    let name = settings.name.clone();
    let agent = tokio::select! {
        () = shutdown.received() => return Ok(()),
        started = start(settings) => started?,
    };
    ReadyLine {
        name: &name,
        links: Some(agent.link_address()),
        http: agent.http_address(),
    }
    .print()?;
    shutdown.received().await;
    agent.shutdown().await;
    Ok(())
}

async fn start(settings: Settings) -> eyre::Result<Agent> {
    let listeners = Listeners {
        links: wire::listen_when_free(settings.listen).await?,
        http: wire::listen_when_free(settings.http).await?,
    };
    Agent::start(settings, listeners).await
}
