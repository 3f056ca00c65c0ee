//! Carries the connections of a relay.

use std::collections::BTreeSet;
use std::future::pending;
use std::io;
use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::batch::lock;
use crate::relay_state::{Direction, Mode, RelayState};

/// To connect to the target; one that is stopped takes no connection.
const CONNECT_WITHIN: Duration = Duration::from_secs(5);

/// Takes connections and carries each to the target, until the runtime ends.
pub(crate) async fn serve(listener: TcpListener, state: Arc<RelayState>) {
    while let Ok((near, _)) = listener.accept().await {
        if *state.mode.borrow() == Mode::Cut {
            continue;
        }
        let number = state.count.fetch_add(1, Ordering::Relaxed);
        state.open.fetch_add(1, Ordering::Relaxed);
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            // A connection that fails is one that its ends see fail.
            let _ = carry(near, number, &state).await;
            state.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn carry(near: TcpStream, number: u64, state: &RelayState) -> io::Result<()> {
    let Some(target) = *lock(&state.target) else {
        return Ok(());
    };
    let far = timeout(CONNECT_WITHIN, TcpStream::connect(target)).await??;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
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
        state.spend(bytes.len()) && !is_barred(&state.barred.borrow())
    };
    let swallows = || number < state.swallow.borrow().0;
    let there = copy(near_rx, far_tx, Direction::There, state, swallows, passes);
    let muted = || lost || *state.mode.borrow() == Mode::Mute || number < state.swallow.borrow().1;
    let back = copy(far_rx, near_tx, Direction::Back, state, muted, |_| true);
    tokio::select! {
        ((), ()) = async { tokio::join!(there, back) } => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
        _ = barred.wait_for(|names| is_barred(names)) => {}
    }
    Ok(())
}

/// Whether the first bytes of a connection hold this name, as a string of the codec.
fn is_hello_of(hello: &[u8], name: &str) -> bool {
    let Ok(length) = u8::try_from(name.len()) else {
        return false;
    };
    let string = [&[length], name.as_bytes()].concat();
    hello.windows(string.len()).any(|part| part == string)
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    direction: Direction,
    state: &RelayState,
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
        pending::<()>().await;
    }
    let _ = to.shutdown().await;
}

/// A message goes into one write of its process, so that it lies in one chunk here.
async fn wait_while_held(direction: Direction, chunk: &[u8], state: &RelayState) {
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
