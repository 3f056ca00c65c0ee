//! Tests of node leases: when a release note is in force everywhere, and the member view.

use control::{NodeLeases, Withdrawn};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use wire::proto::{Announcement, NodeInfo, Role};

const LEASE: Duration = Duration::from_secs(3);
/// Just before the end of a lease.
const ALMOST_LEASE: Duration = Duration::from_millis(2_999);
const STEP: Duration = Duration::from_millis(1);

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

/// The previous note is still in force on one node. Until its lease has expired it may
/// take work under that note, so the newest is not in force everywhere.
#[test]
fn progress_lagging_node() {
    let start = Instant::now();
    let mut leases = NodeLeases::new(1, LEASE, start);
    let now = start + LEASE;
    leases.renew(agent("desk-01", 1), 4, now).unwrap();
    leases.renew(agent("desk-02", 1), 5, now + STEP).unwrap();
    let progress = leases.progress(5, now + STEP);
    assert_eq!(progress.everywhere, Some(4));
    assert_eq!(progress.lagging, ["agent desk-01"]);
    let progress = leases.progress(5, now + LEASE);
    assert_eq!(progress.everywhere, Some(5));
    assert!(progress.lagging.is_empty());
}

/// No node has contacted the new leader yet. Nodes unknown to it may still hold leases
/// from the previous leader, so it must not report any note as in force everywhere.
#[test]
fn progress_new_leader() {
    let start = Instant::now();
    let leases = NodeLeases::new(1, LEASE, start);
    assert_eq!(leases.progress(5, start + ALMOST_LEASE).everywhere, None);
    assert_eq!(leases.progress(5, start + LEASE).everywhere, Some(5));
}

/// A host was started under the name of another that is still running. The older
/// process is superseded, but may take work under its own note until its lease ends.
#[test]
fn progress_superseded_incarnation() {
    let start = Instant::now();
    let mut leases = NodeLeases::new(1, LEASE, start);
    let now = start + LEASE;
    leases.renew(agent("desk-01", 1), 4, now).unwrap();
    leases.renew(agent("desk-01", 2), 5, now + STEP).unwrap();
    let progress = leases.progress(5, now + ALMOST_LEASE);
    assert_eq!(progress.everywhere, Some(4));
    assert!(leases.renew(agent("desk-01", 1), 5, now).is_err());
    assert_eq!(leases.progress(5, now + LEASE).everywhere, Some(5));
}

/// An operator drains a target. The view must change at once and mark it as leaving, or
/// entries would keep sending it new work.
#[test]
fn view_drained_target() {
    let now = Instant::now();
    let mut leases = NodeLeases::new(1, LEASE, now);
    leases.renew(agent("desk-01", 1), 4, now).unwrap();
    let before = leases.view(&Withdrawn::default());
    assert!(!before.nodes[0].leaving);
    leases.withdrawn_targets_changed();
    let withdrawn = Withdrawn {
        targets: BTreeSet::from(["desk-01".to_owned()]),
        ..Withdrawn::default()
    };
    let after = leases.view(&withdrawn);
    assert!(after.nodes[0].leaving && after.version > before.version);
}

/// The view shows a node exactly as the node described itself in its renewal.
#[test]
fn view_matches_renewal() {
    let now = Instant::now();
    let mut leases = NodeLeases::new(1, LEASE, now);
    let mut info = agent("desk-01", 1);
    info.zone = "allgaeu".to_owned();
    info.link_address = "127.0.0.1:9".to_owned();
    info.leaving = true;
    let target = info.target.as_mut().unwrap();
    target.ranks = vec![3, 4];
    target.models = vec!["burl-notes".to_owned()];
    target.can_resume = true;
    target.checks_fencing = true;
    target.healthy = true;
    leases.renew(info.clone(), 4, now).unwrap();
    assert_eq!(leases.view(&Withdrawn::default()).nodes, [info]);
}

/// Guards against a leader that never catches up with the whole views that nodes ask for
/// whose relays could not get through to it.
#[test]
fn admits_view_to_nodes_without_relay() {
    let now = Instant::now();
    for nodes in [400, 800] {
        let mut leases = NodeLeases::new(2, Duration::from_secs(3), now);
        for number in 0..nodes {
            let info = NodeInfo {
                role: Role::Agent.into(),
                name: format!("desk-{number:03}"),
                ..NodeInfo::default()
            };
            leases.renew(info, 1, now).unwrap();
        }
        let rows = |leases: &mut NodeLeases, now| {
            let views = (0..1_000).filter(|_| leases.admits_view(1, now));
            views.count() * nodes
        };
        assert_eq!(rows(&mut leases, now), 32_000);
        assert_eq!(rows(&mut leases, now + Duration::from_secs(1)), 16_000);
        assert!(leases.admits_view(2, now + Duration::from_secs(2)));
    }
}
