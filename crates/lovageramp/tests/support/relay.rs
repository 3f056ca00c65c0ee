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
    /// Swallows what comes back from the target on all connections, also new
    /// ones, while `Open` is not set again; those are then lost.
    Mute,
}

/// From which bytes on connections hold what goes through them.
#[derive(Clone, Debug)]
struct Hold {
    direction: Direction,
    /// A connection holds from the chunk on that has these bytes; without any, only
    /// those hold on that do so already.
    from: Option<Vec<u8>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    There,
    Back,
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
    hold: watch::Sender<Option<Hold>>,
    /// Connections that hold something now.
    holding: AtomicU64,
    /// Connections made before the relay was last muted.
    muted_at: AtomicU64,
    /// What requests whose answers are lost begin with.
    lose_answers: Mutex<&'static str>,
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
            hold: watch::Sender::new(None),
            holding: AtomicU64::new(0),
            muted_at: AtomicU64::new(0),
            lose_answers: Mutex::new(""),
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

    /// What is sent arrives, but no answer comes back, on no connection.
    pub fn mute(&self) {
        self.state
            .muted_at
            .store(self.connections(), Ordering::Relaxed);
        self.state.mode.send_replace(Mode::Mute);
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

    /// From now on the answers to requests that begin with `start` are lost;
    /// none if it is empty.
    pub fn lose_answers(&self, start: &'static str) {
        *self.state.lose_answers.lock().unwrap() = start;
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

    /// A connection that carries these bytes towards the target holds them and all
    /// that follows, until released.
    pub fn hold_there(&self, from: &str) {
        self.hold(Direction::There, from);
    }

    /// The same with bytes that come back from the target.
    pub fn hold_back(&self, from: &str) {
        self.hold(Direction::Back, from);
    }

    fn hold(&self, direction: Direction, from: &str) {
        let from = Some(from.as_bytes().to_vec());
        self.state.hold.send_replace(Some(Hold { direction, from }));
    }

    /// No further connection begins to hold.
    pub fn hold_no_other(&self) {
        self.state.hold.send_modify(|hold| {
            if let Some(hold) = hold {
                hold.from = None;
            }
        });
    }

    /// Whether a connection holds something.
    pub fn is_holding(&self) -> bool {
        self.state.holding.load(Ordering::Relaxed) > 0
    }

    /// Hands on what is held, and holds nothing any more.
    pub fn release(&self) {
        self.state.hold.send_replace(None);
    }

    /// Bytes that went through, both ways.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// How many connections were made since the relay was muted.
    pub fn muted_connections(&self) -> u64 {
        self.connections() - self.state.muted_at.load(Ordering::Relaxed)
    }

    /// How many connections were made through the relay.
    pub fn connections(&self) -> u64 {
        *self.state.count.lock().unwrap()
    }
}

impl State {
    /// Whether the answer to the request that comes first is to be lost.
    async fn loses_answer(&self, near: &TcpStream) -> bool {
        let start = *self.lose_answers.lock().unwrap();
        let mut buf = vec![0; start.len()];
        if start.is_empty() {
            return false;
        }
        near.peek(&mut buf).await.is_ok() && buf == start.as_bytes()
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
    let lost = state.loses_answer(&near).await;
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let mut mode = state.mode.subscribe();
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
    let there = copy(near_rx, far_tx, Direction::There, &state, swallows, passes);
    let muted = || lost || *state.mode.borrow() == Mode::Mute || number < state.swallow.borrow().1;
    let back = copy(far_rx, near_tx, Direction::Back, &state, muted, |_| true);
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
    direction: Direction,
    state: &State,
    swallows: impl Fn() -> bool,
    passes: impl Fn(&[u8]) -> bool,
) {
    let mut buf = vec![0; 64 << 10];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        state.bytes.fetch_add(n as u64, Ordering::Relaxed);
        if swallows() {
            continue;
        }
        if !passes(&buf[..n]) {
            return;
        }
        wait_while_held(direction, &buf[..n], state).await;
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

/// A message goes into one write of its process, so that it lies in one chunk here.
async fn wait_while_held(direction: Direction, chunk: &[u8], state: &State) {
    let mut hold = state.hold.subscribe();
    let is_held = hold.borrow().as_ref().is_some_and(|hold| {
        let has = |from: &Vec<u8>| chunk.windows(from.len()).any(|window| window == from);
        hold.direction == direction && hold.from.as_ref().is_some_and(has)
    });
    if is_held {
        state.holding.fetch_add(1, Ordering::Relaxed);
        let _ = hold.wait_for(Option::is_none).await;
        state.holding.fetch_sub(1, Ordering::Relaxed);
    }
}
