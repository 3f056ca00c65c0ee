//! What a relay does with what goes through it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::batch::lock;

/// What the relay does with all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Hands bytes on.
    Open,
    /// Refuses new connections and resets the open ones.
    Cut,
    /// Swallows what comes back from the target on all connections, also new
    /// ones, while `Open` is not set again; those are then lost.
    Mute,
}

/// From which bytes on connections hold what goes through them.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    pub(crate) direction: Direction,
    /// A connection holds from the chunk on that has these bytes; without any, only
    /// those hold on that do so already.
    pub(crate) from: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    There,
    Back,
}

#[derive(Debug)]
pub(crate) struct RelayState {
    pub(crate) target: Mutex<Option<SocketAddr>>,
    pub(crate) mode: watch::Sender<Mode>,
    /// Processes whose connections are cut, by the name in their hello.
    pub(crate) barred: watch::Sender<BTreeSet<String>>,
    /// Connections with a lower number swallow bytes towards the target, and back.
    pub(crate) swallow: watch::Sender<(u64, u64)>,
    /// Connections that were made.
    pub(crate) count: AtomicU64,
    /// Connections that are open.
    pub(crate) open: AtomicU64,
    pub(crate) bytes: AtomicU64,
    pub(crate) hold: watch::Sender<Option<Hold>>,
    /// Connections that hold something now.
    pub(crate) holding: AtomicU64,
    /// Connections made before the relay was last muted.
    pub(crate) muted_at: AtomicU64,
    /// What requests whose answers are lost begin with.
    pub(crate) lose_answers: Mutex<&'static str>,
    /// Bytes that may still go towards the target.
    pub(crate) left: AtomicU64,
}

impl RelayState {
    pub(crate) fn new() -> RelayState {
        RelayState {
            target: Mutex::new(None),
            mode: watch::Sender::new(Mode::Open),
            barred: watch::Sender::default(),
            swallow: watch::Sender::new((0, 0)),
            count: AtomicU64::new(0),
            open: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            hold: watch::Sender::new(None),
            holding: AtomicU64::new(0),
            muted_at: AtomicU64::new(0),
            lose_answers: Mutex::new(""),
            left: AtomicU64::new(u64::MAX),
        }
    }

    /// Whether the answer to the request that comes first is to be lost.
    pub(crate) async fn loses_answer(&self, near: &TcpStream) -> bool {
        let start = *lock(&self.lose_answers);
        let mut buf = vec![0; start.len()];
        if start.is_empty() {
            return false;
        }
        near.peek(&mut buf).await.is_ok() && buf == start.as_bytes()
    }

    /// Takes bytes from what may still go through; false when it is not enough.
    pub(crate) fn spend(&self, bytes: usize) -> bool {
        let take = |left: u64| match left {
            u64::MAX => Some(left),
            left => left.checked_sub(bytes as u64),
        };
        let order = Ordering::Relaxed;
        let spent = self.left.fetch_update(order, order, take);
        if spent.is_err() {
            self.left.store(0, order);
        }
        spent.is_ok()
    }
}
