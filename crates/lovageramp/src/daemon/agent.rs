//! The `lovageramp-agent` daemon.

use super::options::{described, options};
use super::ready::Ready;
use super::shell::{Daemon, bind, run};
use super::signals::asked_to_end;
use agent::{Agent, Listeners, Settings};
use std::process::ExitCode;

const ABOUT: &str = "The process beside a target, and the only way to it.";
const EXAMPLE: &str = "\
Examples:
  lovageramp-agent --settings advisor-01.json --check
  lovageramp-agent --settings advisor-01.json --log info,wire=debug

Exit codes: 0 ended as asked, 1 findings in the settings or failed, 2 usage.";

/// Runs the daemon from the command line.
#[must_use]
pub fn run_agent() -> ExitCode {
    let options = described(options(), ABOUT, EXAMPLE).run();
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
    let listeners = Listeners {
        links: bind(settings.listen).await?,
        http: bind(settings.http).await?,
    };
    let name = settings.name.clone();
    let agent = Agent::start(settings, listeners).await?;
    Ready {
        name: &name,
        links: Some(agent.link_address()),
        http: agent.http_address(),
    }
    .print()?;
    asked_to_end().await?;
    agent.shutdown().await;
    Ok(())
}
