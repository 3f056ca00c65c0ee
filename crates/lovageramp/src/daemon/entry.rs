//! The `lovageramp-entry` daemon.

use super::options::{described, options};
use super::ready::Ready;
use super::shell::{Daemon, bind, run};
use super::signals::asked_to_end;
use entry::{Entry, Listeners, Settings};
use std::process::ExitCode;

const ABOUT: &str = "An address for callers: admission, choice of target, retries, streams.";
const EXAMPLE: &str = "\
Examples:
  lovageramp-entry --settings entry-1.json --check
  lovageramp-entry --settings entry-1.json --log-format json

Exit codes: 0 ended as asked, 1 findings in the settings or failed, 2 usage.";

/// Runs the daemon from the command line.
#[must_use]
pub fn run_entry() -> ExitCode {
    let options = described(options(), ABOUT, EXAMPLE).run();
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
    let listeners = Listeners {
        http: bind(settings.http).await?,
    };
    let name = settings.name.clone();
    let entry = Entry::start(settings, listeners).await?;
    Ready {
        name: &name,
        links: None,
        http: entry.http_address(),
    }
    .print()?;
    asked_to_end().await?;
    entry.shutdown().await;
    Ok(())
}
