//! How many deployments run at once.

use std::sync::OnceLock;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Each has up to two dozen processes; more at once only slow each other down.
const AT_ONCE: usize = 8;

/// Waits for a turn.
pub async fn acquire_permit() -> SemaphorePermit<'static> {
    static TURNS: OnceLock<Semaphore> = OnceLock::new();
    let turns = TURNS.get_or_init(|| Semaphore::new(AT_ONCE));
    turns.acquire().await.unwrap()
}
