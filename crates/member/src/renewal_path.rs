//! How a node's renewals get to the leader.

use crate::{hash_name, mix};

/// Nodes of an availability zone up to which each renews straight at the leader.
pub const MAX_DIRECT_RENEWALS: usize = 32;
/// Nodes for each relay in a larger zone. What a relay spends on traffic grows with
/// them, and what the leader spends with the number of relays.
pub const NODES_PER_RELAY: usize = 16;

/// A node as the choice of relays sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCandidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether others can renew through it: it accepts links and is not leaving.
    pub accepts_links: bool,
}

/// How a node's renewals get to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalPath<'a> {
    /// Straight.
    Direct,
    /// Straight, and those of other nodes with them.
    Relay,
    /// Through the node of this name.
    Through(&'a str),
}

/// The path of the renewals of `me`, which is one of the nodes of its availability
/// zone.
///
/// A leader that hears from a thousand nodes several times in each lease is busy with
/// that alone. In a zone of more than [`MAX_DIRECT_RENEWALS`] nodes a few of them pass on the
/// renewals of the others. Which ones, and who goes through whom, each node works out
/// for itself by rendezvous hashing: a node that comes or goes moves few others. Views
/// that differ for a moment do no harm, for any node passes on what it is sent.
///
/// ```
/// use member::{RenewalPath, RelayCandidate, renewal_path};
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
    let able = zone.iter().filter(|node| node.accepts_links);
    let mut able: Vec<(u64, &'a str)> =
        able.map(|node| (hash_name(node.name), node.name)).collect();
    able.sort_unstable();
    able.dedup();
    able.truncate(count);
    if me.accepts_links && able.iter().any(|(_, name)| *name == me.name) {
        return RenewalPath::Relay;
    }
    let own = hash_name(me.name);
    let nearest = able
        .into_iter()
        .max_by_key(|(relay, _)| mix(own ^ relay.rotate_left(32)));
    nearest.map_or(RenewalPath::Direct, |(_, name)| RenewalPath::Through(name))
}
