//! Shutdown signals.

use tokio::signal::unix::{SignalKind, signal};

/// Resolves at the first SIGTERM or SIGINT.
///
/// Later signals are caught and ignored, so that an operator or a service manager
/// that repeats the signal does not abort the requests that a graceful shutdown
/// waits for. The shutdown has its own time limit.
///
/// # Errors
///
/// Fails when the signal handlers can't be installed.
pub(crate) async fn shutdown_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("shutdown requested, finishing running requests");
    Ok(())
}
