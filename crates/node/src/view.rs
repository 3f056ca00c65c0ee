//! Which member view to keep when another one arrives.

use std::collections::BTreeMap;
use wire::proto::{MemberView, NodeInfo};

/// The view to hold after `new` has arrived while `held` was held.
///
/// An older view, by term and then by version, changes nothing. A new leader's view
/// is not settled until one lease time has passed: until then it lacks nodes that are
/// well but have not renewed with it yet, and what it lacks is kept. Dropping them
/// would take all targets away from every entry at each change of leader.
///
/// ```
/// use wire::proto::{MemberView, NodeInfo};
///
/// let node = |name: &str| NodeInfo { name: name.into(), ..NodeInfo::default() };
/// let held = MemberView { term: 1, version: 9, settled: true, nodes: vec![node("a"), node("b")] };
/// let new = MemberView { term: 2, version: 1, settled: false, nodes: vec![node("b")] };
/// assert_eq!(node::merge(&held, new).nodes.len(), 2);
/// ```
#[must_use]
pub fn merge(held: &MemberView, new: MemberView) -> MemberView {
    if (new.term, new.version) < (held.term, held.version) {
        return held.clone();
    }
    if new.settled {
        return new;
    }
    let mut nodes: BTreeMap<String, NodeInfo> = BTreeMap::new();
    for node in held.nodes.iter().chain(&new.nodes) {
        nodes.insert(node.name.clone(), node.clone());
    }
    MemberView {
        nodes: nodes.into_values().collect(),
        ..new
    }
}
