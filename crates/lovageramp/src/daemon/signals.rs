//! Shutdown signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// SIGTERM and SIGINT, which request a shutdown.
///
/// Signals after the first are caught and ignored, so that an operator or a service
/// manager that repeats the signal does not abort the requests that a graceful shutdown
/// waits for. The shutdown has its own time limit.
pub(crate) struct ShutdownSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl ShutdownSignal {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails when the signal handlers can't be installed.
    pub(crate) fn install() -> eyre::Result<ShutdownSignal> {
        Ok(ShutdownSignal {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Resolves at the next signal.
    pub(crate) async fn received(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        log::info!("shutdown requested, finishing running requests");
    }
}

/// Resolves at the first SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers can't be installed.
pub(crate) async fn shutdown_signal() -> eyre::Result<()> {
    ShutdownSignal::install()?.received().await;
    Ok(())
}
