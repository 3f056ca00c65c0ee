//! The `lovageramp-control` daemon.

use super::options::{Options, described, options};
use super::ready::Ready;
use super::shell::{Daemon, bind, run};
use super::signals::asked_to_end;
use bpaf::{construct, long};
use control::{Control, Listeners, Settings};
use std::process::ExitCode;
use store::Ops;

const ABOUT: &str = "A replica of lovageramp's durable state.";
const EXAMPLE: &str = "\
Examples:
  lovageramp-control --settings control-1.json --check
  lovageramp-control --settings control-1.json --init   (the first replica, once)
  lovageramp-control --settings control-1.json

A replica with a blank data folder joins the cluster of its settings anew; only
--init makes a new cluster.

Exit codes: 0 ended as asked, 1 findings in the settings or failed, 2 usage.";

#[derive(Clone, Debug)]
struct ControlOptions {
    common: Options,
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
    let options = described(parser, ABOUT, EXAMPLE).run();
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

/// Runs a replica with these file operations until it is asked to end or can't go on.
///
/// # Errors
///
/// It can't start, or its disk can't be relied on any more.
///
/// ```no_run
/// # async fn run(settings: control::Settings) -> eyre::Result<()> {
/// lovageramp::daemon::serve_control(settings, store::Ops::default()).await
/// # }
/// ```
pub async fn serve_control(settings: Settings, ops: Ops) -> eyre::Result<()> {
    let listeners = Listeners {
        links: bind(settings.listen).await?,
        http: bind(settings.http).await?,
    };
    let name = settings.name.clone();
    let control = Control::start_with(settings, listeners, ops).await?;
    Ready {
        name: &name,
        links: Some(control.link_address()),
        http: control.http_address(),
    }
    .print()?;
    tokio::select! {
        asked = asked_to_end() => asked?,
        // A replica whose disk failed promises nothing any more; a process
        // that stayed would look alive to whoever watches it.
        () = control.stopped() => eyre::bail!("the replica can't go on, see its log"),
    }
    control.shutdown().await;
    Ok(())
}
