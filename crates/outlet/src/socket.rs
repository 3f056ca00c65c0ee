//! A look at a connection's socket.

use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// A second handle on a connection's socket, for looking at it while its task
/// reads and writes.
#[derive(Debug)]
pub(crate) struct Socket(socket2::Socket);

/// What closing a connection does with bytes that are still on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Close {
    /// They are delivered, and the end after them.
    Deliver,
    /// They are discarded, and the peer sees a reset.
    Reset,
}

impl Socket {
    /// A handle of its own, which keeps the connection open like the first.
    pub fn of(stream: &TcpStream) -> io::Result<Self> {
        SockRef::from(stream).try_clone().map(Socket)
    }

    /// Whether the kernel has nothing to read, neither bytes nor an end.
    ///
    /// The task that reads the connection learns of an end later than the
    /// kernel; a call written in between would be lost.
    pub fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // Handles on one socket share that it doesn't wait.
        let peeked = self.0.peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// How long written bytes may stay unacknowledged before the connection
    /// fails.
    pub fn set_silence(&self, silence: Duration) -> io::Result<()> {
        self.0.set_tcp_user_timeout(Some(silence))
    }

    /// What closing the connection does with bytes that are still on their way.
    pub fn set_close(&self, close: Close) -> io::Result<()> {
        self.0.set_linger(match close {
            Close::Deliver => None,
            Close::Reset => Some(Duration::ZERO),
        })
    }
}
