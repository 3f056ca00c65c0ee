//! Who is at the other end of a connection.

use std::net::SocketAddr;

/// Address of the other end, an extension of each request that
/// [`serve`](crate::serve) hands on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerAddr(pub SocketAddr);
