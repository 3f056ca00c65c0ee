//! Polls for a condition.

use std::future::Future;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Generous: a machine many times slower still gets there.
const BOUND: Duration = Duration::from_mins(1);
const PAUSE: Duration = Duration::from_millis(25);

/// Waits until `probe` gives a value, and fails the test with `what` if it never does.
pub async fn until<T, F, Fut>(what: &str, mut probe: F) -> T
where
    F: FnMut() -> Fut,
    Fut: Future<Output = Option<T>>,
{
    let end = Instant::now() + BOUND;
    loop {
        if let Some(value) = probe().await {
            return value;
        }
        assert!(Instant::now() < end, "never happened: {what}");
        sleep(PAUSE).await;
    }
}
