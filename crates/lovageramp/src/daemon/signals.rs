//! The signals that end a daemon.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves at the first SIGTERM or SIGINT.
///
/// Later ones are taken and ignored: an operator or a service manager that repeats
/// the signal must not cut off the requests that a graceful shutdown waits for. The
/// shutdown has a bound of its own.
///
/// # Errors
///
/// Fails when the process may not handle signals.
pub(crate) async fn asked_to_end() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("asked to end, finishing what runs");
    Ok(())
}
