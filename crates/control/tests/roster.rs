//! When a note is in force everywhere, and what the view shows.

use control::NodeLeases;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use wire::proto::{Announcement, NodeInfo, Role};

const LEASE: Duration = Duration::from_secs(3);
/// A moment before the end of a lease.
const ALMOST: Duration = Duration::from_millis(2_999);
const MOMENT: Duration = Duration::from_millis(1);

fn agent(name: &str, incarnation: u64) -> NodeInfo {
    NodeInfo {
        role: Role::Agent.into(),
        name: name.to_owned(),
        incarnation,
        target: Some(Announcement {
            target: name.to_owned(),
            service: "order-desk".to_owned(),
            ..Announcement::default()
        }),
        ..NodeInfo::default()
    }
}

/// A node stays at the former note. Until its lease has run out it may take
/// work by it, so the newest is not in force everywhere.
#[test]
fn progress_lagging_node() {
    let start = Instant::now();
    let mut roster = NodeLeases::new(1, LEASE, start);
    let now = start + LEASE;
    roster.renew(agent("desk-01", 1), 4, now).unwrap();
    roster.renew(agent("desk-02", 1), 5, now + MOMENT).unwrap();
    let progress = roster.progress(5, now + MOMENT);
    assert_eq!(progress.everywhere, Some(4));
    assert_eq!(progress.lagging, ["agent desk-01"]);
    let progress = roster.progress(5, now + LEASE);
    assert_eq!(progress.everywhere, Some(5));
    assert!(progress.lagging.is_empty());
}

/// A new leader has heard from nobody. Leases of the former one may still
/// run, of nodes that it doesn't know, so it must not say anything yet.
#[test]
fn progress_new_leader() {
    let start = Instant::now();
    let roster = NodeLeases::new(1, LEASE, start);
    assert_eq!(roster.progress(5, start + ALMOST).everywhere, None);
    assert_eq!(roster.progress(5, start + LEASE).everywhere, Some(5));
}

/// A host was given the name of another that still runs. The former one loses
/// its place, but works until the end of its lease, by its own note.
#[test]
fn progress_former_incarnation() {
    let start = Instant::now();
    let mut roster = NodeLeases::new(1, LEASE, start);
    let now = start + LEASE;
    roster.renew(agent("desk-01", 1), 4, now).unwrap();
    roster.renew(agent("desk-01", 2), 5, now + MOMENT).unwrap();
    let progress = roster.progress(5, now + ALMOST);
    assert_eq!(progress.everywhere, Some(4));
    assert!(roster.renew(agent("desk-01", 1), 5, now).is_err());
    assert_eq!(roster.progress(5, now + LEASE).everywhere, Some(5));
}

/// An operator drains a target: the view must change at once and show it as
/// leaving, or entries would go on sending it new work.
#[test]
fn view_drained_target() {
    let now = Instant::now();
    let mut roster = NodeLeases::new(1, LEASE, now);
    roster.renew(agent("desk-01", 1), 4, now).unwrap();
    let before = roster.view(&BTreeSet::new());
    assert!(!before.nodes[0].leaving);
    roster.drained_targets_changed();
    let after = roster.view(&BTreeSet::from(["desk-01".to_owned()]));
    assert!(after.nodes[0].leaving && after.version > before.version);
}

/// What a node tells of itself comes out in the view as it went in.
#[test]
fn view_same_as_told() {
    let now = Instant::now();
    let mut roster = NodeLeases::new(1, LEASE, now);
    let mut told = agent("desk-01", 1);
    told.zone = "allgaeu".to_owned();
    told.link_address = "127.0.0.1:9".to_owned();
    told.leaving = true;
    let target = told.target.as_mut().unwrap();
    target.ranks = vec![3, 4];
    target.models = vec!["burl-notes".to_owned()];
    target.can_resume = true;
    target.checks_fencing = true;
    target.healthy = true;
    roster.renew(told.clone(), 4, now).unwrap();
    assert_eq!(roster.view(&BTreeSet::new()).nodes, [told]);
}
