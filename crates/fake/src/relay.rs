//! A TCP relay between two processes that can cut, hold and swallow.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::net::TcpListener;

use crate::batch::lock;
use crate::relay_carry::serve;
use crate::relay_state::{Direction, Hold, Mode, RelayState};

/// A relay before one address; the address may change when a process is restarted.
///
/// `swallow_*` hold for the connections that are open when they are called; new
/// connections work, as when a middle box has lost track of the old ones.
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
    /// Where to connect to.
    pub address: SocketAddr,
    state: Arc<RelayState>,
}

impl Relay {
    /// A relay on a port of the kernel's choice, before nothing yet.
    ///
    /// # Errors
    ///
    /// There is no port.
    pub async fn start() -> io::Result<Relay> {
        Relay::start_on(Ipv4Addr::LOCALHOST.into()).await
    }

    /// The same on another address of this host.
    ///
    /// # Errors
    ///
    /// There is no port.
    pub async fn start_on(host: IpAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((host, 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(RelayState::new());
        tokio::spawn(serve(listener, Arc::clone(&state)));
        Ok(Relay { address, state })
    }

    /// Sets what stands behind the relay.
    pub fn set_target(&self, target: SocketAddr) {
        *lock(&self.state.target) = Some(target);
    }

    /// Cuts the relay: open connections are reset, new ones refused.
    pub fn cut(&self) {
        self.state.mode.send_replace(Mode::Cut);
    }

    /// What is sent arrives, but no answer comes back, on no connection.
    pub fn discard_replies(&self) {
        self.state
            .muted_at
            .store(self.connections(), Ordering::Relaxed);
        self.state.mode.send_replace(Mode::Mute);
    }

    /// Cuts the relay once this many more bytes have gone towards the target.
    pub fn cut_after_bytes(&self, bytes: u64) {
        self.state.left.store(bytes, Ordering::Relaxed);
    }

    /// Whether it was cut by [`Relay::cut_after_bytes`].
    #[must_use]
    pub fn is_byte_limit_reached(&self) -> bool {
        self.state.left.load(Ordering::Relaxed) == 0
    }

    /// Lets new connections through again.
    pub fn heal(&self) {
        self.state.left.store(u64::MAX, Ordering::Relaxed);
        self.state.mode.send_replace(Mode::Open);
    }

    /// Cuts the links of the processes with these names, and of no others.
    pub fn block_nodes(&self, names: BTreeSet<String>) {
        self.state.barred.send_replace(names);
    }

    /// From now on the answers to requests that begin with `start` are lost;
    /// none if it is empty.
    pub fn discard_replies_to(&self, start: &'static str) {
        *lock(&self.state.lose_answers) = start;
    }

    /// From now on the open connections swallow what goes towards the target.
    pub fn discard_to_target(&self) {
        let count = self.connections();
        self.state.swallow.send_modify(|limits| limits.0 = count);
    }

    /// From now on the open connections swallow what comes back from the target.
    pub fn discard_from_target(&self) {
        let count = self.connections();
        self.state.swallow.send_modify(|limits| limits.1 = count);
    }

    /// From now on the open connections swallow what goes either way.
    pub fn discard_both_ways(&self) {
        self.discard_to_target();
        self.discard_from_target();
    }

    /// The same, and new connections lead nowhere.
    pub fn black_hole(&self) {
        *lock(&self.state.target) = None;
        self.discard_both_ways();
    }

    /// A connection that carries these bytes towards the target holds them and all
    /// that follows, until released.
    pub fn hold_to_target(&self, from: &str) {
        self.hold(Direction::There, from);
    }

    /// The same with bytes that come back from the target.
    pub fn hold_from_target(&self, from: &str) {
        self.hold(Direction::Back, from);
    }

    fn hold(&self, direction: Direction, from: &str) {
        let from = Some(from.as_bytes().to_vec());
        self.state.hold.send_replace(Some(Hold { direction, from }));
    }

    /// No further connection begins to hold.
    pub fn stop_new_holds(&self) {
        self.state.hold.send_modify(|hold| {
            if let Some(hold) = hold {
                hold.from = None;
            }
        });
    }

    /// Whether a connection holds something.
    #[must_use]
    pub fn is_holding(&self) -> bool {
        self.state.holding.load(Ordering::Relaxed) > 0
    }

    /// Hands on what is held, and holds nothing any more.
    pub fn release(&self) {
        self.state.hold.send_replace(None);
    }

    /// Bytes that went through, both ways.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// How many connections were made since the relay was muted.
    #[must_use]
    pub fn connections_since_discard(&self) -> u64 {
        self.connections() - self.state.muted_at.load(Ordering::Relaxed)
    }

    /// How many connections were made through the relay.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.state.count.load(Ordering::Relaxed)
    }

    /// How many connections are open.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.state.open.load(Ordering::Relaxed)
    }
}
