//! The `lovageramp-entry` daemon.

use super::options::{options, with_description};
use super::ready_line::ReadyLine;
use super::runner::{Daemon, run};
use super::signals::ShutdownSignal;
use entry::{Entry, Listeners, Settings};
use std::process::ExitCode;

const ABOUT: &str =
    "Accepts requests from callers: admission, target selection, retries, streaming.";
const FOOTER: &str = "\
Examples:
  lovageramp-entry --settings entry-1.json --check
  lovageramp-entry --settings entry-1.json --log-format json

Exit codes: 0 stopped by a signal, 1 findings in the settings or failure, 2 usage error.";

/// Runs the daemon from the command line.
#[must_use]
pub fn run_entry() -> ExitCode {
    let options = with_description(options(), ABOUT, FOOTER).run();
    run(
        &options,
        Daemon {
            name: "lovageramp-entry",
            parse: Settings::from_slice,
            effective: Settings::effective,
            serve,
        },
    )
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let mut shutdown = ShutdownSignal::install()?;
    let name = settings.name.clone();
    let entry = tokio::select! {
        () = shutdown.received() => return Ok(()),
        started = start(settings) => started?,
    };
    ReadyLine {
        name: &name,
        links: None,
        http: entry.http_address(),
    }
    .print()?;
    shutdown.received().await;
    entry.shutdown().await;
    Ok(())
}

async fn start(settings: Settings) -> eyre::Result<Entry> {
    let listeners = Listeners {
        http: wire::listen_when_free(settings.http).await?,
    };
    Entry::start(settings, listeners).await
}
