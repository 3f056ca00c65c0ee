//! Runs a daemon: reads its settings, starts it, and returns its exit code.

use super::options::DaemonOptions;
use std::fs;
use std::future::Future;
use std::process::ExitCode;

/// Exit code for unreadable settings or settings with findings.
const EXIT_INVALID_SETTINGS: u8 = 1;
/// Exit code for a daemon that can't start or fails.
const EXIT_FAILED: u8 = 1;

/// The parts that differ between the daemons.
pub(super) struct Daemon<S, E, R> {
    /// Program name, used in spans and error messages.
    pub name: &'static str,
    /// Parses and checks the settings.
    pub parse: fn(&[u8]) -> Result<S, cfg::Findings>,
    /// Returns the settings in force, defaults included.
    pub effective: E,
    /// Runs the daemon until a shutdown signal.
    pub serve: R,
}

/// Reads the settings, then prints them, checks them or runs the daemon.
pub(super) fn run<S, E, R, Fut>(options: &DaemonOptions, daemon: Daemon<S, E, R>) -> ExitCode
where
    E: FnOnce(&S) -> serde_json::Value,
    R: FnOnce(S) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    let json = match fs::read(&options.settings) {
        Ok(json) => json,
        Err(err) => {
            eprintln!("{}: {err}", options.settings.display());
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    let settings = match (daemon.parse)(&json) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{}:\n{findings}", options.settings.display());
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if options.print_settings {
        println!("{:#}", (daemon.effective)(&settings));
        return ExitCode::SUCCESS;
    }
    if options.check {
        println!("{}: no findings", options.settings.display());
        return ExitCode::SUCCESS;
    }
    match run_daemon(options, daemon.name, (daemon.serve)(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{}: {err:#}", daemon.name);
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run_daemon(
    options: &DaemonOptions,
    name: &str,
    future: impl Future<Output = eyre::Result<()>>,
) -> eyre::Result<()> {
    let _logs = trace::start_logging(&options.log, options.log_format)?;
    let _spans = match &options.otlp {
        Some(endpoint) => Some(trace::start_span_export(name, endpoint)?),
        None => None,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let result = runtime.block_on(future);
    // An operation that still waits for a slow disk must not delay the exit.
    runtime.shutdown_background();
    result
}
