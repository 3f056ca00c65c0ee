//! The `lovageramp-control` daemon.

use super::options::{DaemonOptions, options, with_description};
use super::ready_line::ReadyLine;
use super::runner::{Daemon, run};
use super::signals::ShutdownSignal;
use bpaf::{construct, long};
use control::{Control, Listeners, Settings};
use std::process::ExitCode;
use store::Ops;

const ABOUT: &str = "A replica of lovageramp's durable state.";
const FOOTER: &str = "\
Examples:
  lovageramp-control --settings control-1.json --check
  lovageramp-control --settings control-1.json --init   (the first replica, once)
  lovageramp-control --settings control-1.json

A replica with an empty data folder rejoins the cluster of its settings; only
--init creates a new cluster.

Exit codes: 0 stopped by a signal, 1 findings in the settings or failure, 2 usage error.";

#[derive(Clone, Debug)]
struct ControlOptions {
    common: DaemonOptions,
    init: bool,
}

/// Runs the daemon from the command line.
#[must_use]
pub fn run_control() -> ExitCode {
    let init = long("init")
        .help("Format the data folder as the first replica of a new cluster and exit")
        .switch();
    let common = options();
    let parser = construct!(ControlOptions { init, common });
    let options = with_description(parser, ABOUT, FOOTER).run();
    let init = options.init;
    run(
        &options.common,
        Daemon {
            name: "lovageramp-control",
            parse: Settings::from_slice,
            effective: |settings: &Settings| settings.effective.clone(),
            serve: async move |settings| {
                if init {
                    return control::init(&settings);
                }
                serve_control(settings, Ops::default()).await
            },
        },
    )
}

/// Runs a replica with these file operations until a shutdown signal or a fatal error.
///
/// # Errors
///
/// Fails when the replica can't start, or when its disk fails.
///
/// ```no_run
/// # async fn run(settings: control::Settings) -> eyre::Result<()> {
/// lovageramp::daemon::serve_control(settings, store::Ops::default()).await
/// # }
/// ```
pub async fn serve_control(settings: Settings, ops: Ops) -> eyre::Result<()> {
    let mut shutdown = ShutdownSignal::install()?;
    let name = settings.name.clone();
    let control = tokio::select! {
        () = shutdown.received() => return Ok(()),
        started = start(settings, ops) => started?,
    };
    ReadyLine {
        name: &name,
        links: Some(control.link_address()),
        http: control.http_address(),
    }
    .print()?;
    tokio::select! {
        () = shutdown.received() => {}
        // After a disk failure the replica can't guarantee durability. The process
        // exits because it would still look healthy to a supervisor.
        () = control.stopped() => eyre::bail!("the replica stopped after a fatal error, see its log"),
    }
    control.shutdown().await;
    Ok(())
}

async fn start(settings: Settings, ops: Ops) -> eyre::Result<Control> {
    let listeners = Listeners {
        links: wire::listen_when_free(settings.listen).await?,
        http: wire::listen_when_free(settings.http).await?.into(),
    };
    Control::start_with(settings, listeners, ops).await
}
