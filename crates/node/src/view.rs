//! Merging of member views.

use std::collections::BTreeMap;
use wire::proto::{MemberView, NodeInfo};

/// Merges a received view `new` into the current view `held`.
///
/// An older view, by term and then by version, is ignored. The view of a new leader is
/// not settled until one lease has passed: until then it lacks live nodes that have not
/// renewed with that leader yet, so nodes that it lacks are kept. Removing them would
/// leave every entry without targets at each change of leader.
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
/// A view with `since` set contains only the changes since that version:
///
/// ```
/// use wire::proto::{MemberView, NodeInfo, NodeRef};
///
/// let node = |name: &str| NodeInfo { name: name.into(), ..NodeInfo::default() };
/// let held = MemberView { term: 1, version: 9, settled: true, nodes: vec![node("a"), node("b")], ..MemberView::default() };
/// let gone = vec![NodeRef { name: "a".into(), ..NodeRef::default() }];
/// let changes = MemberView { term: 1, version: 11, settled: true, since: 9, nodes: vec![node("c")], gone };
/// let names: Vec<_> = node::merge_view(&held, changes).nodes.into_iter().map(|n| n.name).collect();
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

/// Applies changes since the held version of the view. Changes since another version are
/// ignored: the next renewal names the held one, and its answer contains the right ones.
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

/// Indexes nodes by role and name, which together are unique.
fn by_key(nodes: &[NodeInfo]) -> BTreeMap<(i32, String), NodeInfo> {
    let keyed = nodes.iter().map(|node| {
        let key = (node.role, node.name.clone());
        (key, node.clone())
    });
    keyed.collect()
}
