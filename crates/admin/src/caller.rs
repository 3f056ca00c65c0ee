//! Connections of callers, and the bytes that are charged for them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use intake::{ConnectionKey, Decision, Intake, Limits, Phase, Timeouts};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::caller_metrics::{CloseReason, count_closed};

/// Maximum time until a connection that is closed to make room is noticed to be gone.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time that a new connection waits for room. Others wait behind it.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// The connections of a server.
pub(crate) struct Callers {
    intake: Mutex<Intake<CancellationToken>>,
    /// Signalled whenever a connection is closed or bytes are returned.
    released: Notify,
}

/// There is no room for a connection or a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

impl Callers {
    pub(crate) fn new(limits: Limits) -> Arc<Callers> {
        Arc::new(Callers {
            intake: Mutex::new(Intake::new(limits)),
            released: Notify::new(),
        })
    }

    fn intake(&self) -> MutexGuard<'_, Intake<CancellationToken>> {
        self.intake.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a connection. If there is no room, waits until others are closed, if any are.
    pub(crate) async fn open(
        self: &Arc<Self>,
        own_bytes: usize,
    ) -> Result<CallerConnection, NoRoom> {
        let evicted = CancellationToken::new();
        let ask = || {
            self.intake()
                .open(evicted.clone(), own_bytes, Instant::now())
        };
        let opened = timeout(OPEN_TIMEOUT, self.until_decided(ask)).await;
        Ok(CallerConnection {
            key: opened.unwrap_or(Err(NoRoom))?,
            callers: Arc::clone(self),
            evicted,
        })
    }

    /// Closes some connections after the process has run out of descriptors.
    pub(crate) fn on_descriptors_exhausted(&self) {
        let evicted = self.intake().on_descriptors_exhausted(Instant::now());
        if !evicted.is_empty() {
            log::warn!("closing {} connections to free descriptors", evicted.len());
            count_closed(CloseReason::Descriptors, evicted.len());
        }
        evict(&evicted);
    }

    async fn until_decided<G>(
        &self,
        ask: impl Fn() -> Decision<G, CancellationToken>,
    ) -> Result<G, NoRoom> {
        loop {
            match ask() {
                Decision::Granted(granted) => return Ok(granted),
                Decision::Refused => return Err(NoRoom),
                Decision::Wait(evicted) => {
                    if !evicted.is_empty() {
                        count_closed(CloseReason::Room, evicted.len());
                    }
                    evict(&evicted);
                }
            }
            let _ = timeout(ROOM_CHECK_INTERVAL, self.released.notified()).await;
        }
    }
}

fn evict(connections: &[CancellationToken]) {
    for connection in connections {
        connection.cancel();
    }
}

/// A caller's connection. It counts until it is dropped.
pub(crate) struct CallerConnection {
    callers: Arc<Callers>,
    key: ConnectionKey,
    evicted: CancellationToken,
}

impl CallerConnection {
    /// Waits until the connection must be closed to make room.
    pub(crate) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Records that bytes have arrived.
    pub(crate) fn on_read(&self) {
        self.callers.intake().on_read(self.key, Instant::now());
    }

    /// Changes the phase. Returns false if the connection is being closed to make room.
    #[must_use]
    pub(crate) fn enter(&self, phase: Phase) -> bool {
        self.callers.intake().enter(self.key, phase, Instant::now())
    }

    /// Records that a request was successful.
    pub(crate) fn mark_served(&self) {
        self.callers.intake().mark_served(self.key);
    }

    /// Whether a request head is being received.
    pub(crate) fn is_receiving_head(&self) -> bool {
        self.callers.intake().phase(self.key) == Some(Phase::Head)
    }

    /// When the connection exceeds a time limit of its phase.
    pub(crate) fn deadline(&self, timeouts: &Timeouts) -> Option<Instant> {
        self.callers.intake().deadline(self.key, timeouts)
    }

    /// A charge for a request body, of no bytes yet.
    pub(crate) fn charge(&self) -> BodyCharge {
        BodyCharge {
            callers: Arc::clone(&self.callers),
            key: self.key,
            bytes: 0,
        }
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.callers.intake().close(self.key);
        self.callers.released.notify_one();
    }
}

/// Bytes charged for a request body. They are returned on drop, which may be after the
/// end of the connection.
pub(crate) struct BodyCharge {
    callers: Arc<Callers>,
    key: ConnectionKey,
    bytes: usize,
}

impl BodyCharge {
    /// Charges further bytes. If there is no room, waits until connections are closed, if
    /// any are.
    pub(crate) async fn add(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let ask = || {
            let now = Instant::now();
            self.callers.intake().reserve(self.key, bytes, now)
        };
        self.callers.until_decided(ask).await?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.callers.intake().release(self.key, self.bytes);
            self.callers.released.notify_one();
        }
    }
}
