//! Forwards the connections of a relay.

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

/// Connect timeout; a stopped target process accepts no connections.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

const COPY_BUFFER_BYTES: usize = 64 << 10;

/// Accepts connections and forwards each to the target until the runtime ends.
pub(crate) async fn serve(listener: TcpListener, state: Arc<RelayState>) {
    while let Ok((client, _)) = listener.accept().await {
        if *state.mode.borrow() == Mode::Cut {
            continue;
        }
        let number = state.accepted.fetch_add(1, Ordering::Relaxed);
        state.open_connections.fetch_add(1, Ordering::Relaxed);
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            // Both ends see the connection fail, so the error needs no handling.
            let _ = forward(client, number, &state).await;
            state.open_connections.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn forward(client: TcpStream, number: u64, state: &RelayState) -> io::Result<()> {
    let Some(target) = *lock(&state.target) else {
        return Ok(());
    };
    let server = timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await??;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let discards_reply = state.discards_reply(&client).await;
    let (client_rx, client_tx) = client.into_split();
    let (server_rx, server_tx) = server.into_split();
    let mut mode = state.mode.subscribe();
    let handshake = OnceLock::new();
    let is_blocked = |names: &BTreeSet<String>| {
        let handshake = handshake.get().map_or(&[][..], Vec::as_slice);
        names.iter().any(|name| handshake_contains(handshake, name))
    };
    let mut blocked_nodes = state.blocked_nodes.subscribe();
    let allows = |bytes: &[u8]| {
        handshake.get_or_init(|| bytes.to_vec());
        state.consume_bytes(bytes.len()) && !is_blocked(&state.blocked_nodes.borrow())
    };
    let discards_to_target = || number < state.discard_below.borrow().0;
    let to_target = copy(
        client_rx,
        server_tx,
        Direction::ToTarget,
        state,
        discards_to_target,
        allows,
    );
    let discards_from_target = || {
        discards_reply
            || *state.mode.borrow() == Mode::DiscardReplies
            || number < state.discard_below.borrow().1
    };
    let from_target = copy(
        server_rx,
        client_tx,
        Direction::FromTarget,
        state,
        discards_from_target,
        |_| true,
    );
    tokio::select! {
        ((), ()) = async { tokio::join!(to_target, from_target) } => {}
        _ = mode.wait_for(|mode| *mode == Mode::Cut) => {}
        _ = blocked_nodes.wait_for(|names| is_blocked(names)) => {}
    }
    Ok(())
}

/// Whether the first bytes of a connection contain this node name, encoded as a
/// length-prefixed string as in the handshake message.
fn handshake_contains(handshake: &[u8], name: &str) -> bool {
    let Ok(length) = u8::try_from(name.len()) else {
        return false;
    };
    let string = [&[length], name.as_bytes()].concat();
    handshake.windows(string.len()).any(|part| part == string)
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    direction: Direction,
    state: &RelayState,
    discards: impl Fn() -> bool,
    allows: impl Fn(&[u8]) -> bool,
) {
    let mut buf = vec![0; COPY_BUFFER_BYTES];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        state.bytes.fetch_add(n as u64, Ordering::Relaxed);
        if discards() {
            continue;
        }
        if !allows(&buf[..n]) {
            return;
        }
        wait_while_held(direction, &buf[..n], state).await;
        if to.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    if discards() {
        // The end of a connection is hidden as well when its data is discarded.
        pending::<()>().await;
    }
    let _ = to.shutdown().await;
}

/// Waits while the chunk is to be held. The processes send each message in one write,
/// so a pattern lies within one chunk.
async fn wait_while_held(direction: Direction, chunk: &[u8], state: &RelayState) {
    let mut hold = state.hold.subscribe();
    let is_held = hold.borrow().as_ref().is_some_and(|hold| {
        let contains =
            |pattern: &Vec<u8>| chunk.windows(pattern.len()).any(|window| window == pattern);
        hold.direction == direction && hold.pattern.as_ref().is_some_and(contains)
    });
    if is_held {
        state.holding_connections.fetch_add(1, Ordering::Relaxed);
        let _ = hold.wait_for(Option::is_none).await;
        state.holding_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
