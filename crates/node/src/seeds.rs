//! Reloading of the seeds in a settings file.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

/// Interval at which the file is read without a signal. The seeds are needed only when
/// all known replicas are gone, which takes minutes.
const REREAD_INTERVAL: Duration = Duration::from_secs(2);

/// Calls `changed` with the seeds each time that they differ from the previous ones. The
/// settings are read again on SIGHUP and every two seconds; settings that cannot be read
/// change nothing.
///
/// # Errors
///
/// Fails if the process cannot listen for the signal.
pub async fn follow_seeds(
    read: impl Fn() -> eyre::Result<Vec<SocketAddr>>,
    changed: impl Fn(Vec<SocketAddr>),
) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut known = Vec::new();
    loop {
        match read() {
            Ok(named) if named != known => {
                log::info!(seeds:? = named; "using new seeds");
                known.clone_from(&named);
                changed(named);
            }
            Ok(_) => {}
            Err(e) => log::error!("cannot reload the settings, keeping the previous ones: {e}"),
        }
        if timeout(REREAD_INTERVAL, hangup.recv()).await.is_ok() {
            log::info!("received SIGHUP, reloading the settings");
        }
    }
}
