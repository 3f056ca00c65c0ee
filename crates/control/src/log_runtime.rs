//! The runtime of everything that the replicated log depends on.

use std::io;
use std::thread;
use tokio::runtime::{Builder, Handle};
use tokio_util::sync::CancellationToken;

/// Starts a runtime on a thread of its own, which ends once `stopped` is cancelled.
///
/// Heartbeats and votes pass through about ten tasks. On a runtime that also serves
/// nodes, each of those tasks waits for all nodes that are ready, and when hundreds
/// connect at once, the followers would hear nothing for longer than the election
/// timeout and depose one leader after the other.
pub(crate) fn start(stopped: CancellationToken) -> io::Result<Handle> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let handle = runtime.handle().clone();
    let name = "replica".to_owned();
    thread::Builder::new()
        .name(name)
        .spawn(move || runtime.block_on(stopped.cancelled()))?;
    Ok(handle)
}
