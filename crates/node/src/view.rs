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
/// let held = MemberView { term: 1, version: 9, settled: true, nodes: vec![node("a"), node("b")], ..MemberView::default() };
/// let new = MemberView { term: 2, version: 1, settled: false, nodes: vec![node("b")], ..MemberView::default() };
/// assert_eq!(node::merge_view(&held, new).nodes.len(), 2);
/// ```
///
/// A view with `since` set holds only what changed since that version:
///
/// ```
/// use wire::proto::{MemberView, NodeInfo, NodeRef};
///
/// let node = |name: &str| NodeInfo { name: name.into(), ..NodeInfo::default() };
/// let held = MemberView { term: 1, version: 9, settled: true, nodes: vec![node("a"), node("b")], ..MemberView::default() };
/// let gone = vec![NodeRef { name: "a".into(), ..NodeRef::default() }];
/// let news = MemberView { term: 1, version: 11, settled: true, since: 9, nodes: vec![node("c")], gone };
/// let names: Vec<_> = node::merge_view(&held, news).nodes.into_iter().map(|n| n.name).collect();
/// assert_eq!(names, ["b", "c"]);
/// ```
#[must_use]
pub fn merge_view(held: &MemberView, new: MemberView) -> MemberView {
    if (new.term, new.version) < (held.term, held.version) {
        return held.clone();
    }
    if new.since != 0 {
        return merge_changes(held, &new);
    }
    if new.settled {
        return new;
    }
    let mut nodes = by_key(&held.nodes);
    nodes.extend(by_key(&new.nodes));
    MemberView {
        nodes: nodes.into_values().collect(),
        ..new
    }
}

/// Applies what changed since the very view that is held. Changes since another one
/// leave it as it is: the next renewal names it, and the answer fits.
fn merge_changes(held: &MemberView, new: &MemberView) -> MemberView {
    if (new.term, new.since) != (held.term, held.version) {
        return held.clone();
    }
    let mut nodes = by_key(&held.nodes);
    for gone in &new.gone {
        nodes.remove(&(gone.role, gone.name.clone()));
    }
    nodes.extend(by_key(&new.nodes));
    MemberView {
        term: new.term,
        version: new.version,
        settled: new.settled,
        nodes: nodes.into_values().collect(),
        ..MemberView::default()
    }
}

/// Nodes by role and name, which together are unique.
fn by_key(nodes: &[NodeInfo]) -> BTreeMap<(i32, String), NodeInfo> {
    let keyed = nodes.iter().map(|node| {
        let key = (node.role, node.name.clone());
        (key, node.clone())
    });
    keyed.collect()
}
