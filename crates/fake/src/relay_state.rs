//! Settings and counters of a relay.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::batch::lock;

/// How the relay treats all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards bytes.
    Open,
    /// Closes new and open connections.
    Cut,
    /// Discards what the target sends on all connections, also new ones, until the
    /// mode changes; the discarded bytes are lost.
    DiscardReplies,
}

/// Which data the relay holds back.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    pub(crate) direction: Direction,
    /// A connection holds data from the chunk that contains these bytes onwards.
    /// `None` only lets connections that hold already continue to hold.
    pub(crate) pattern: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    ToTarget,
    FromTarget,
}

#[derive(Debug)]
pub(crate) struct RelayState {
    pub(crate) target: Mutex<Option<SocketAddr>>,
    pub(crate) mode: watch::Sender<Mode>,
    /// Nodes whose connections are closed, by the name in their handshake.
    pub(crate) blocked_nodes: watch::Sender<BTreeSet<String>>,
    /// Connections with a lower number have their data to the target, and from it,
    /// discarded.
    pub(crate) discard_below: watch::Sender<(u64, u64)>,
    /// Number of connections accepted so far; numbers the connections.
    pub(crate) accepted: AtomicU64,
    /// Number of open connections.
    pub(crate) open_connections: AtomicU64,
    /// Number of bytes received in both directions.
    pub(crate) bytes: AtomicU64,
    pub(crate) hold: watch::Sender<Option<Hold>>,
    /// Number of connections that hold data now.
    pub(crate) holding_connections: AtomicU64,
    /// Number of connections accepted before replies were last discarded.
    pub(crate) connections_at_discard: AtomicU64,
    /// First bytes of the connections whose replies are discarded; empty for none.
    pub(crate) discard_reply_prefix: Mutex<&'static str>,
    /// Bytes that may still be sent to the target; `u64::MAX` for no limit.
    pub(crate) bytes_left: AtomicU64,
}

impl RelayState {
    pub(crate) fn new() -> RelayState {
        RelayState {
            target: Mutex::new(None),
            mode: watch::Sender::new(Mode::Open),
            blocked_nodes: watch::Sender::default(),
            discard_below: watch::Sender::new((0, 0)),
            accepted: AtomicU64::new(0),
            open_connections: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
            hold: watch::Sender::new(None),
            holding_connections: AtomicU64::new(0),
            connections_at_discard: AtomicU64::new(0),
            discard_reply_prefix: Mutex::new(""),
            bytes_left: AtomicU64::new(u64::MAX),
        }
    }

    /// Whether the replies on this connection are to be discarded.
    pub(crate) async fn discards_reply(&self, client: &TcpStream) -> bool {
        let prefix = *lock(&self.discard_reply_prefix);
        let mut buf = vec![0; prefix.len()];
        if prefix.is_empty() {
            return false;
        }
        client.peek(&mut buf).await.is_ok() && buf == prefix.as_bytes()
    }

    /// Deducts bytes from the limit of bytes to the target; false if the limit is exceeded.
    pub(crate) fn consume_bytes(&self, bytes: usize) -> bool {
        let take = |left: u64| match left {
            u64::MAX => Some(left),
            left => left.checked_sub(bytes as u64),
        };
        let order = Ordering::Relaxed;
        let deducted = self.bytes_left.fetch_update(order, order, take);
        if deducted.is_err() {
            self.bytes_left.store(0, order);
        }
        deducted.is_ok()
    }
}
