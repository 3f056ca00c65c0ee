//! A TCP relay between two processes that can cut, freeze and swallow.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the relay does with bytes. `Swallow*` hold for the connections that are open
/// when they are set; new connections work, as when a middle box has lost track of
/// the old ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Hands bytes on.
    Open,
    /// Refuses new connections and resets the open ones.
    Cut,
}

/// A relay before one address; the address may change when a process is restarted.
pub struct Relay {
    /// Where to connect to.
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    target: Mutex<Option<SocketAddr>>,
    mode: watch::Sender<Mode>,
    /// Processes whose connections are cut, by the name in their hello.
    barred: watch::Sender<BTreeSet<String>>,
    /// Connections with a lower number swallow bytes towards the target, and back.
    swallow: watch::Sender<(u64, u64)>,
    count: Mutex<u64>,
    bytes: AtomicU64,
    /// Bytes that may still go towards the target.
    left: AtomicU64,
}

impl Relay {
    /// A relay on a port of the kernel's choice, before nothing yet.
    pub async fn start() -> Relay {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            target: Mutex::new(None),
            mode: watch::Sender::new(Mode::Open),
            barred: watch::Sender::default(),
            swallow: watch::Sender::new((0, 0)),
            count: Mutex::new(0),
            bytes: AtomicU64::new(0),
            left: AtomicU64::new(u64::MAX),
        });
        tokio::spawn(serve(listener, Arc::clone(&state)));
        Relay { address, state }
    }

    /// Sets what stands behind the relay.
    pub fn set_target(&self, target: SocketAddr) {
        *self.state.target.lock().unwrap() = Some(target);
    }

    /// Cuts the relay: open connections are reset, new ones refused.
    pub fn cut(&self) {
        self.state.mode.send_replace(Mode::Cut);
    }

    /// Cuts the relay once this many more bytes have gone towards the target.
    pub fn cut_after(&self, bytes: u64) {
        self.state.left.store(bytes, Ordering::Relaxed);
    }

    /// Whether it was cut by [`Relay::cut_after`].
    pub fn is_used_up(&self) -> bool {
        self.state.left.load(Ordering::Relaxed) == 0
    }

    /// Lets new connections through again.
    pub fn heal(&self) {
        self.state.left.store(u64::MAX, Ordering::Relaxed);
        self.state.mode.send_replace(Mode::Open);
    }

    /// Cuts the links of the processes with these names, and of no others.
    pub fn bar(&self, names: BTreeSet<String>) {
        self.state.barred.send_replace(names);
    }

    /// From now on the open connections swallow what goes towards the target.
    pub fn swallow_there(&self) {
        let count = *self.state.count.lock().unwrap();
        self.state.swallow.send_modify(|limits| limits.0 = count);
    }

    /// From now on the open connections swallow what comes back from the target.
    pub fn swallow_back(&self) {
        let count = *self.state.count.lock().unwrap();
        self.state.swallow.send_modify(|limits| limits.1 = count);
    }

    /// Bytes that went through, both ways.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// How many connections were made through the relay.
    pub fn connections(&self) -> u64 {
        *self.state.count.lock().unwrap()
    }
}

async fn serve(listener: TcpListener, state: Arc<State>) {
    while let Ok((near, _)) = listener.accept().await {
        if *state.mode.borrow() == Mode::Cut {
            continue;
        }
        let number = {
            let mut count = state.count.lock().unwrap();
            *count += 1;
            *count - 1
        };
        tokio::spawn(carry(near, number, Arc::clone(&state)));
    }
}

async fn carry(near: TcpStream, number: u64, state: Arc<State>) {
    let Some(target) = *state.target.lock().unwrap() else {
        return;
    };
    let Ok(Ok(far)) =
        tokio::time::timeout(Duration::from_secs(5), TcpStream::connect(target)).await
    else {
        return;
    };
    near.set_nodelay(true).unwrap();
    far.set_nodelay(true).unwrap();
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let mut mode = state.mode.subscribe();
    let bytes = &state.bytes;
    let hello = OnceLock::new();
    let is_barred = |names: &BTreeSet<String>| {
        let hello = hello.get().map_or(&[][..], Vec::as_slice);
        names.iter().any(|name| is_hello_of(hello, name))
    };
    let mut barred = state.barred.subscribe();
    let passes = |bytes: &[u8]| {
        hello.get_or_init(|| bytes.to_vec());
        spend(&state.left, bytes.len()) && !is_barred(&state.barred.borrow())
    };
    let swallows = || number < state.swallow.borrow().0;
    let there = copy(near_rx, far_tx, bytes, swallows, passes);
    let swallows = || number < state.swallow.borrow().1;
    let back = copy(far_rx, near_tx, bytes, swallows, |_| true);
    tokio::select! {
        ((), ()) = async { tokio::join!(there, back) } => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
        _ = barred.wait_for(|names| is_barred(names)) => {}
    }
}

/// Takes bytes from what may still go through; false when it is not enough.
fn spend(left: &AtomicU64, bytes: usize) -> bool {
    let take = |left: u64| match left {
        u64::MAX => Some(left),
        left => left.checked_sub(bytes as u64),
    };
    let spent = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
    if spent.is_err() {
        left.store(0, Ordering::Relaxed);
    }
    spent.is_ok()
}

/// Whether the first bytes of a connection hold this name, as a string of the codec.
fn is_hello_of(hello: &[u8], name: &str) -> bool {
    let length = u8::try_from(name.len()).unwrap();
    let string = [&[length], name.as_bytes()].concat();
    hello.windows(string.len()).any(|part| part == string)
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    bytes: &AtomicU64,
    swallows: impl Fn() -> bool,
    passes: impl Fn(&[u8]) -> bool,
) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        bytes.fetch_add(n as u64, Ordering::Relaxed);
        if swallows() {
            continue;
        }
        if !passes(&buf[..n]) {
            return;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    if swallows() {
        // A swallowed connection doesn't show its end either.
        std::future::pending::<()>().await;
    }
    let _ = to.shutdown().await;
}
