//! The node that others renew through fails.

use super::zone::{LEASE, Mode, Zone, until};
use std::collections::BTreeSet;

/// Longer than any lease that was granted before; a test holds however long it is.
const LONG: std::time::Duration = LEASE.saturating_mul(2);

async fn until_relayed_elsewhere(zone: &Zone, former: &str, carried: &BTreeSet<String>) {
    until("its nodes renew through others", || {
        let mut nodes = zone
            .nodes
            .iter()
            .filter(|node| carried.contains(&node.name));
        nodes
            .all(|node| {
                let gone = node.follower.view().nodes.iter().all(|n| n.name != former);
                gone && node.relay().is_none_or(|relay| relay != former)
            })
            .then_some(())
    })
    .await;
}

/// The host of a relay dies. The nodes behind it must go on: one that lost its lease would
/// take no new work, and with it a part of a zone would stop for the loss of one host.
#[tokio::test(flavor = "multi_thread")]
async fn relay_killed_leases_go_on() {
    let mut zone = Zone::start().await;
    let (place, carried) = zone.busiest();
    let watch = zone.watch(place);
    let killed = zone.nodes.remove(place);
    let name = killed.name.clone();
    drop(killed);
    until_relayed_elsewhere(&zone, &name, &carried).await;
    tokio::time::sleep(LONG).await;
    watch.assert_none();
}

/// A relay no longer passes on what it takes, while its own lease goes on, so that nobody
/// else finds anything wrong with it. Its nodes must not wait for it until their leases are
/// over.
#[tokio::test(flavor = "multi_thread")]
async fn relay_frozen_leases_go_on() {
    let zone = Zone::start().await;
    let (place, carried) = zone.busiest();
    let watch = zone.watch(place);
    zone.nodes[place].mode.send_replace(Mode::Frozen);
    until("its nodes renew straight", || {
        let mut nodes = zone
            .nodes
            .iter()
            .filter(|node| carried.contains(&node.name));
        nodes.all(|node| node.relay().is_none()).then_some(())
    })
    .await;
    tokio::time::sleep(LONG).await;
    watch.assert_none();
}

/// A relay lies far behind: what it passes on arrives long after its nodes have turned to
/// control themselves. The late renewals must not take anything back.
#[tokio::test(flavor = "multi_thread")]
async fn relay_slow_leases_go_on() {
    let zone = Zone::start().await;
    let (place, carried) = zone.busiest();
    let watch = zone.watch(place);
    zone.nodes[place].mode.send_replace(Mode::Slow);
    let behind = zone
        .nodes
        .iter()
        .find(|node| carried.contains(&node.name))
        .unwrap();
    let other = zone
        .nodes
        .iter()
        .find(|n| !carried.contains(&n.name) && n.name != zone.nodes[place].name);
    let other = other.unwrap();
    until("its nodes have waited in vain", || {
        behind.relay().is_none().then_some(())
    })
    .await;
    behind.follower.set_leaving(true);
    let shown = || {
        let view = other.follower.view();
        let node = view.nodes.iter().find(|node| node.name == behind.name);
        node.is_some_and(|node| node.leaving)
    };
    until("it is seen to leave", || shown().then_some(())).await;
    let end = std::time::Instant::now() + LEASE;
    while std::time::Instant::now() < end {
        assert!(shown(), "a renewal that was overtaken has brought it back");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    watch.assert_none();
}

/// The network fails between a relay and control, but not between it and its nodes.
#[tokio::test(flavor = "multi_thread")]
async fn relay_cut_off_leases_go_on() {
    let zone = Zone::start().await;
    let (place, carried) = zone.busiest();
    let watch = zone.watch(place);
    zone.nodes[place].proxy.cut();
    until_relayed_elsewhere(&zone, &zone.nodes[place].name, &carried).await;
    tokio::time::sleep(LONG).await;
    watch.assert_none();
    let now = std::time::Instant::now();
    assert!(!zone.nodes[place].follower.leased(now));
}
