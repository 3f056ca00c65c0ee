//! Access to the socket of a connection.

use std::io;
use std::mem::MaybeUninit;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;

/// A second handle to a connection's socket, for inspecting it and setting options
/// while the connection's task reads and writes.
#[derive(Debug)]
pub(crate) struct Socket(socket2::Socket);

/// What closing a connection does with bytes that were not delivered yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CloseMode {
    /// They are delivered, followed by the end of the stream.
    Graceful,
    /// They are discarded, and the peer receives a reset.
    Reset,
}

impl Socket {
    /// Duplicates the handle of a stream. The connection stays open until both are
    /// closed.
    pub fn try_clone_from(stream: &TcpStream) -> io::Result<Self> {
        SockRef::from(stream).try_clone().map(Socket)
    }

    /// Whether there is nothing to read, neither bytes nor the end of the stream.
    ///
    /// The task that reads the connection notices the end of the stream later than
    /// the kernel; a request written in between would be lost.
    pub fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        // Does not block: duplicated handles share the non-blocking mode.
        let peeked = self.0.peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sets how long written bytes may stay unacknowledged before the connection
    /// fails.
    pub fn set_ack_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.0.set_tcp_user_timeout(Some(timeout))
    }

    /// Sets what closing the connection does with bytes that were not delivered yet.
    pub fn set_close_mode(&self, mode: CloseMode) -> io::Result<()> {
        self.0.set_linger(match mode {
            CloseMode::Graceful => None,
            CloseMode::Reset => Some(Duration::ZERO),
        })
    }
}
