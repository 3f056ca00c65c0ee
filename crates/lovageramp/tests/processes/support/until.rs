//! Polls for a condition.

use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Long enough for a host many times slower.
const TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Polls `probe` until it returns a value. Fails the test, naming `what`, when it has
/// returned none within a minute.
pub async fn until<T, F, Fut>(what: &str, mut probe: F) -> T
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        sleep(POLL_INTERVAL).await;
    }
}
