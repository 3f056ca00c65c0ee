//! Follows the seeds that a settings file names.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::timeout;

/// How often the file is read without a signal. The seeds are needed only when
/// all replicas known so far are gone, which takes minutes.
const LOOK: Duration = Duration::from_secs(2);

/// Tells of the seeds each time the settings name others. They are read again
/// on SIGHUP and from time to time; ones that can't be read change nothing.
///
/// # Errors
///
/// Fails when the process can't listen for the signal.
pub async fn follow_seeds(
    read: impl Fn() -> eyre::Result<Vec<SocketAddr>>,
    changed: impl Fn(Vec<SocketAddr>),
) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut known = Vec::new();
    loop {
        match read() {
            Ok(named) if named != known => {
                log::info!(seeds:? = named; "seeds in force");
                known.clone_from(&named);
                changed(named);
            }
            Ok(_) => {}
            Err(e) => log::error!("settings stay as they were: {e}"),
        }
        if timeout(LOOK, hangup.recv()).await.is_ok() {
            log::info!("asked to read the settings again");
        }
    }
}
