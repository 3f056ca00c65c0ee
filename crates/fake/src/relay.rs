//! A TCP relay between two processes that can cut, delay and discard traffic.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use crate::batch::lock;
use crate::listen::listen;
use crate::relay_carry::serve;
use crate::relay_state::{Direction, Hold, Mode, RelayState};

/// A TCP relay in front of one address, which may change when a process restarts.
///
/// `discard_to_target`, `discard_from_target` and `discard_both_ways` apply to the
/// connections that are open when they are called. New connections work, as when a
/// middlebox has lost its state of the old ones.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let service = fake::Service::start(fake::ServiceSettings::default()).await?;
/// let relay = fake::Relay::start().await?;
/// relay.set_target(service.address());
/// tokio::net::TcpStream::connect(relay.address).await?;
/// relay.cut();
/// relay.heal();
/// # std::io::Result::Ok(())
/// # }).unwrap();
/// ```
#[derive(Clone, Debug)]
pub struct Relay {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<RelayState>,
}

impl Relay {
    /// Starts a relay on an ephemeral loopback port, without a target.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start() -> io::Result<Relay> {
        Relay::start_on(Ipv4Addr::LOCALHOST.into()).await
    }

    /// Starts a relay on an ephemeral port of another address of this host.
    ///
    /// # Errors
    ///
    /// Fails when no port can be bound.
    pub async fn start_on(host: IpAddr) -> io::Result<Relay> {
        let listener = listen((host, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState::new());
        tokio::spawn(serve(listener, Arc::clone(&state)));
        Ok(Relay { address, state })
    }

    /// Sets the address that connections are forwarded to.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.state.target) = Some(target);
    }

    /// Closes open connections and all new ones until [`Relay::heal`].
    pub fn cut(&self) {
        self.state.mode.send_replace(Mode::Cut);
    }

    /// Discards what the target sends, on all connections, also new ones.
    pub fn discard_replies(&self) {
        self.state
            .connections_at_discard
            .store(self.connections(), Ordering::Relaxed);
        self.state.mode.send_replace(Mode::DiscardReplies);
    }

    /// Forwards this many more bytes to the target, over all connections; a
    /// connection that exceeds the limit is cut off.
    pub fn cut_after_bytes(&self, bytes: u64) {
        self.state.bytes_left.store(bytes, Ordering::Relaxed);
    }

    /// Whether the limit of [`Relay::cut_after_bytes`] was reached.
    #[must_use]
    pub fn is_byte_limit_reached(&self) -> bool {
        self.state.bytes_left.load(Ordering::Relaxed) == 0
    }

    /// Forwards new connections again, without a byte limit.
    pub fn heal(&self) {
        self.state.bytes_left.store(u64::MAX, Ordering::Relaxed);
        self.state.mode.send_replace(Mode::Open);
    }

    /// Closes the connections of the nodes with these names; replaces the former set.
    pub fn block_nodes(&self, names: BTreeSet<String>) {
        self.state.blocked_nodes.send_replace(names);
    }

    /// Discards the replies on new connections whose first bytes are `prefix`; an
    /// empty prefix turns this off.
    pub fn discard_replies_to(&self, prefix: &'static str) {
        *lock(&self.state.discard_reply_prefix) = prefix;
    }

    /// Discards what is sent to the target on the connections open now.
    pub fn discard_to_target(&self) {
        let count = self.connections();
        self.state
            .discard_below
            .send_modify(|limits| limits.0 = count);
    }

    /// Discards what the target sends on the connections open now.
    pub fn discard_from_target(&self) {
        let count = self.connections();
        self.state
            .discard_below
            .send_modify(|limits| limits.1 = count);
    }

    /// Discards traffic in both directions on the connections open now.
    pub fn discard_both_ways(&self) {
        self.discard_to_target();
        self.discard_from_target();
    }

    /// Discards traffic in both directions on the connections open now and closes new
    /// ones, which have no target.
    pub fn black_hole(&self) {
        *lock(&self.state.target) = None;
        self.discard_both_ways();
    }

    /// Holds back, on any connection that sends `pattern` to the target, the pattern
    /// and all later bytes in that direction, until [`Relay::release`].
    pub fn hold_to_target(&self, pattern: &str) {
        self.hold(Direction::ToTarget, pattern);
    }

    /// Like [`Relay::hold_to_target`], for bytes that the target sends.
    pub fn hold_from_target(&self, pattern: &str) {
        self.hold(Direction::FromTarget, pattern);
    }

    fn hold(&self, direction: Direction, pattern: &str) {
        let pattern = Some(pattern.as_bytes().to_vec());
        self.state
            .hold
            .send_replace(Some(Hold { direction, pattern }));
    }

    /// Lets no further connection start to hold; those that hold already continue.
    pub fn stop_new_holds(&self) {
        self.state.hold.send_modify(|hold| {
            if let Some(hold) = hold {
                hold.pattern = None;
            }
        });
    }

    /// Whether any connection is holding data.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        self.state.holding_connections.load(Ordering::Relaxed) > 0
    }

    /// Forwards held data and stops holding.
    pub fn release(&self) {
        self.state.hold.send_replace(None);
    }

    /// Number of bytes received in both directions.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Number of connections accepted since [`Relay::discard_replies`].
    #[must_use]
    pub fn connections_since_discard(&self) -> u64 {
        self.connections() - self.state.connections_at_discard.load(Ordering::Relaxed)
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.state.accepted.load(Ordering::Relaxed)
    }

    /// Number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.state.open_connections.load(Ordering::Relaxed)
    }
}
