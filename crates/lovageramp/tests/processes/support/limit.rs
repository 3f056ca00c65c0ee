//! Limits the number of deployments that run concurrently.

use std::sync::OnceLock;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Each deployment has up to two dozen processes; more deployments at once only slow
/// each other down.
const MAX_DEPLOYMENTS: usize = 8;

/// Waits until another deployment may start. It counts as running until the permit is
/// dropped.
pub async fn acquire_permit() -> SemaphorePermit<'static> {
    static PERMITS: OnceLock<Semaphore> = OnceLock::new();
    let permits = PERMITS.get_or_init(|| Semaphore::new(MAX_DEPLOYMENTS));
    permits.acquire().await.unwrap()
}
