//! Failures of the relay that nodes renew through.

use super::zone::{LEASE, Mode, Zone, until};
use std::collections::BTreeSet;

/// Longer than any lease that was granted before the failure.
const OBSERVATION: std::time::Duration = LEASE.saturating_mul(2);

async fn until_using_other_relays(zone: &Zone, former: &str, relayed: &BTreeSet<String>) {
    until("the nodes use other relays", || {
        let mut nodes = zone
            .nodes
            .iter()
            .filter(|node| relayed.contains(&node.name));
        nodes
            .all(|node| {
                let gone = node.follower.view().nodes.iter().all(|n| n.name != former);
                gone && node.relay().is_none_or(|relay| relay != former)
            })
            .then_some(())
    })
    .await;
}

/// The host of a relay fails. The nodes that renew through it must keep their leases:
/// otherwise they would accept no new work, and the failure of one host would stop a part
/// of the zone.
#[tokio::test(flavor = "multi_thread")]
async fn relay_killed_leases_kept() {
    let mut zone = Zone::start().await;
    let (index, relayed) = zone.busiest_relay();
    let leases = zone.watch_leases_except(index);
    let killed = zone.nodes.remove(index);
    let name = killed.name.clone();
    drop(killed);
    until_using_other_relays(&zone, &name, &relayed).await;
    tokio::time::sleep(OBSERVATION).await;
    leases.assert_no_lease_lost();
}

/// A relay stops forwarding messages but keeps its own lease, so that no other node
/// detects the failure. Its nodes must not wait for it until their leases expire.
#[tokio::test(flavor = "multi_thread")]
async fn relay_hangs_leases_kept() {
    let zone = Zone::start().await;
    let (index, relayed) = zone.busiest_relay();
    let leases = zone.watch_leases_except(index);
    zone.nodes[index].mode.send_replace(Mode::Hanging);
    until("the nodes renew directly", || {
        let mut nodes = zone
            .nodes
            .iter()
            .filter(|node| relayed.contains(&node.name));
        nodes.all(|node| node.relay().is_none()).then_some(())
    })
    .await;
    tokio::time::sleep(OBSERVATION).await;
    leases.assert_no_lease_lost();
}

/// A relay forwards messages so late that its nodes have already renewed directly. The
/// late renewals must not revert newer ones.
#[tokio::test(flavor = "multi_thread")]
async fn relay_slow_leases_kept() {
    let zone = Zone::start().await;
    let (index, relayed) = zone.busiest_relay();
    let leases = zone.watch_leases_except(index);
    zone.nodes[index].mode.send_replace(Mode::Slow);
    let leaving = zone
        .nodes
        .iter()
        .find(|node| relayed.contains(&node.name))
        .unwrap();
    let observer = zone
        .nodes
        .iter()
        .find(|n| !relayed.contains(&n.name) && n.name != zone.nodes[index].name);
    let observer = observer.unwrap();
    until("the node renews directly", || {
        leaving.relay().is_none().then_some(())
    })
    .await;
    leaving.follower.set_leaving(true);
    let shown = || {
        let view = observer.follower.view();
        let node = view.nodes.iter().find(|node| node.name == leaving.name);
        node.is_some_and(|node| node.leaving)
    };
    until("the node is shown as leaving", || shown().then_some(())).await;
    let deadline = std::time::Instant::now() + LEASE;
    while std::time::Instant::now() < deadline {
        assert!(
            shown(),
            "a late renewal has reverted the node to not leaving"
        );
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    leases.assert_no_lease_lost();
}

/// The network between a relay and control fails, but not between the relay and its nodes.
#[tokio::test(flavor = "multi_thread")]
async fn relay_disconnected_leases_kept() {
    let zone = Zone::start().await;
    let (index, relayed) = zone.busiest_relay();
    let leases = zone.watch_leases_except(index);
    zone.nodes[index].proxy.cut();
    until_using_other_relays(&zone, &zone.nodes[index].name, &relayed).await;
    tokio::time::sleep(OBSERVATION).await;
    leases.assert_no_lease_lost();
    let now = std::time::Instant::now();
    assert!(!zone.nodes[index].follower.leased(now));
}
