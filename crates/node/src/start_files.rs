//! Reading of files that may still be being deployed when a process starts.

use std::path::Path;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Pauses before the first and the later attempts to read a file; they double in between.
const RETRY_BACKOFF: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(320));
/// Time after which a file that is still missing or incomplete is taken for an error.
const PATIENCE: Duration = Duration::from_secs(10);

/// Calls `read` until it succeeds, for ten seconds at most. The wait is logged once.
///
/// A process may be started while its files are being replaced, and would find them
/// missing, empty or cut. `read` should fail for these cases only: contents that are
/// complete but invalid don't get better with time.
///
/// # Errors
///
/// Returns the last error of `read`.
///
/// ```
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # runtime.block_on(async {
/// let file = std::path::Path::new("Cargo.toml");
/// let read = || Ok(std::fs::read(file)?);
/// assert!(!node::read_when_complete(file, read).await.unwrap().is_empty());
/// # });
/// ```
pub async fn read_when_complete<T>(
    file: &Path,
    read: impl Fn() -> eyre::Result<T>,
) -> eyre::Result<T> {
    let give_up = Instant::now() + PATIENCE;
    let (mut delay, max_delay) = RETRY_BACKOFF;
    let mut is_reported = false;
    loop {
        match read() {
            Err(e) if Instant::now() < give_up => {
                if !is_reported {
                    log::warn!(
                        "{}: {e:#}; reading it again until it is complete",
                        file.display()
                    );
                    is_reported = true;
                }
            }
            done => {
                if is_reported && done.is_ok() {
                    log::info!("{}: complete now", file.display());
                }
                return done;
            }
        }
        sleep(delay).await;
        delay = (delay * 2).min(max_delay);
    }
}
