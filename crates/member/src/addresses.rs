//! The address list for callers.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{Node, Role, View};

/// FNV-1a, 64 bit: offset basis and prime.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The entries for a caller, the nearest availability zone first; entries
/// that leave or told no address are left out.
///
/// Callers keep the list and start with its head, so within a zone the order
/// depends on `seed`: were it the same for all, they would all meet at one
/// entry, and move together to the next when it leaves.
///
/// ```
/// use std::sync::Arc;
/// use member::{Node, Role, View, addresses};
///
/// let mut near = Node::new(Role::Entry, "entry-1", 1, "celje");
/// near.caller_address = Some("127.0.0.1:8001".parse().unwrap());
/// let mut far = Node::new(Role::Entry, "entry-2", 1, "ptuj");
/// far.caller_address = Some("127.0.0.1:8002".parse().unwrap());
/// let nodes = vec![Arc::new(near), Arc::new(far)];
/// let view = View { term: 1, version: 1, settled: true, nodes };
///
/// let list = addresses(&view, 7, |zone| u32::from(zone != "ptuj"));
/// assert_eq!(list[0].0.port(), 8002);
/// assert_eq!(list[1].1.zone, "celje");
/// ```
pub fn addresses(
    view: &View,
    seed: u64,
    distance: impl Fn(&str) -> u32,
) -> Vec<(SocketAddr, &Arc<Node>)> {
    let mut list = Vec::new();
    for node in &view.nodes {
        if node.key.role != Role::Entry || node.leaving {
            continue;
        }
        if let Some(address) = node.caller_address {
            list.push((address, node));
        }
    }
    list.sort_by_cached_key(|(_, node)| (distance(&node.zone), mix(seed, &node.key.name)));
    list
}

fn mix(seed: u64, name: &str) -> u64 {
    let seeded = seed.to_le_bytes();
    let bytes = seeded.iter().copied().chain(name.bytes());
    let hash = bytes.fold(FNV_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    // The low bits of the last byte barely reach the high ones; fold them in.
    hash ^ (hash >> 32)
}
