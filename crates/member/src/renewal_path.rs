//! The path of a node's renewals to the leader.

use crate::{hash_name, mix};

/// Maximum number of nodes in an availability zone in which all nodes renew directly
/// with the leader.
pub const MAX_DIRECT_RENEWALS: usize = 32;
/// Nodes for each relay in a larger zone. The load of a relay grows with this number,
/// and the load of the leader with the number of relays.
pub const NODES_PER_RELAY: usize = 16;

/// A node as considered in the selection of relays.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCandidate<'a> {
    /// Name of the node.
    pub name: &'a str,
    /// Whether others can renew through the node: it accepts links and is not leaving.
    pub accepts_links: bool,
}

/// The path of a node's renewals to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalPath<'a> {
    /// Directly to the leader.
    Direct,
    /// Directly to the leader, together with the renewals of other nodes.
    Relay,
    /// Through the node with this name.
    Through(&'a str),
}

/// Returns the path of the renewals of `me`, one of the nodes of availability zone
/// `zone`.
///
/// Direct renewals of a thousand nodes, several in each lease, would use up the leader's
/// capacity. In a zone of more than [`MAX_DIRECT_RENEWALS`] nodes, a few relays forward
/// the renewals of the others. Each node computes the relays and its own relay locally
/// by rendezvous hashing, so that a node that joins or leaves reassigns few others.
/// Temporarily different views do no harm, because every node forwards the renewals that
/// it receives.
///
/// ```
/// use member::{RelayCandidate, RenewalPath, renewal_path};
///
/// let me = RelayCandidate { name: "advisor-01", accepts_links: true };
/// assert_eq!(renewal_path(me, &[me]), RenewalPath::Direct);
/// ```
#[must_use]
pub fn renewal_path<'a>(me: RelayCandidate<'_>, zone: &[RelayCandidate<'a>]) -> RenewalPath<'a> {
    if zone.len() <= MAX_DIRECT_RENEWALS {
        return RenewalPath::Direct;
    }
    let count = zone.len().div_ceil(NODES_PER_RELAY);
    let candidates = zone.iter().filter(|node| node.accepts_links);
    let mut relays: Vec<(u64, &'a str)> = candidates
        .map(|node| (hash_name(node.name), node.name))
        .collect();
    relays.sort_unstable();
    relays.dedup();
    relays.truncate(count);
    if me.accepts_links && relays.iter().any(|(_, name)| *name == me.name) {
        return RenewalPath::Relay;
    }
    let own = hash_name(me.name);
    let nearest = relays
        .into_iter()
        .max_by_key(|(relay, _)| mix(own ^ relay.rotate_left(32)));
    nearest.map_or(RenewalPath::Direct, |(_, name)| RenewalPath::Through(name))
}
