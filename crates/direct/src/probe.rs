//! Whether a target still accepts connections, after it has ended some.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time in which all sockets of a process are closed that has ended: its connections
/// break together.
pub(crate) const CLOSE_TIME: Duration = Duration::from_millis(5);
/// Time in which a target accepts or refuses a connection. A host without power does
/// neither, and tells nothing about the requests.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// What became of a new connection to a target that has ended connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probe {
    /// Nothing accepts connections there.
    Refused,
    /// The target has merely closed its connections or stopped its work.
    Accepted,
    TimedOut,
    Failed(ErrorKind),
}

pub(crate) async fn probe(address: SocketAddr) -> Probe {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Probe::Accepted,
        Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Probe::Refused,
        Ok(Err(e)) => Probe::Failed(e.kind()),
        Err(_) => Probe::TimedOut,
    }
}

/// Whether a target that leaves, and has ended a connection, has exited. Its host may be
/// gone as well, so only a connection that it accepts shows that it has not.
pub(crate) async fn has_exited(address: SocketAddr) -> bool {
    sleep(CLOSE_TIME).await;
    probe(address).await != Probe::Accepted
}
