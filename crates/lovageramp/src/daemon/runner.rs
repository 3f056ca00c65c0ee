//! Runs a daemon from its options to its exit code.

use super::options::Options;
use eyre::WrapErr;
use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::net::TcpListener;

/// Exit code for settings with findings.
const FINDINGS: u8 = 1;
/// Exit code for a daemon that can't run.
const FAILED: u8 = 1;

/// A daemon's own part of the shell.
pub(super) struct Daemon<S, E, R> {
    /// Name of the program, for spans.
    pub name: &'static str,
    /// Reads and checks the settings.
    pub parse: fn(&[u8]) -> Result<S, cfg::Findings>,
    /// What is in force, defaults included.
    pub effective: E,
    /// Runs until asked to end.
    pub serve: R,
}

/// Reads the settings and does what the options ask for.
pub(super) fn run<S, E, R, Fut>(options: &Options, daemon: Daemon<S, E, R>) -> ExitCode
where
    E: FnOnce(&S) -> serde_json::Value,
    R: FnOnce(S) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    let json = match fs::read(&options.settings) {
        Ok(json) => json,
        Err(err) => {
            eprintln!("{}: {err}", options.settings.display());
            return ExitCode::from(FINDINGS);
        }
    };
    let settings = match (daemon.parse)(&json) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{}:\n{findings}", options.settings.display());
            return ExitCode::from(FINDINGS);
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
    match serve(options, daemon.name, (daemon.serve)(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{}: {err:#}", daemon.name);
            ExitCode::from(FAILED)
        }
    }
}

fn serve(
    options: &Options,
    name: &str,
    serving: impl Future<Output = eyre::Result<()>>,
) -> eyre::Result<()> {
    let _logs = trace::start_logs(&options.log, options.log_format)?;
    let _spans = match &options.otlp {
        Some(endpoint) => Some(trace::start_spans(name, endpoint)?),
        None => None,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serving)
}

/// Binds an address, naming it where that fails.
///
/// # Errors
///
/// Fails when the address is taken or not one of this host.
pub(super) async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.wrap_err_with(|| format!("can't listen on {address}"))
}
