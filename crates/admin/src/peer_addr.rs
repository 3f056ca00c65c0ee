//! Address of the peer of a connection.

use std::net::SocketAddr;

/// Address of the peer. [`serve`](crate::serve) adds it to the extensions of each
/// request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddr(pub SocketAddr);
