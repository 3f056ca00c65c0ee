//! Paths of messages in a large group.

use expert::{Delivery, RelayTree};
use std::collections::{BTreeMap, BTreeSet};

fn ranks(count: u32) -> BTreeMap<u32, String> {
    (0..count).map(|rank| (rank, name(rank))).collect()
}

fn name(rank: u32) -> String {
    format!("agent-{rank:03}")
}

fn recipients(deliveries: &[Delivery]) -> BTreeSet<String> {
    let all = deliveries.iter().flat_map(|delivery| &delivery.to);
    all.cloned().collect()
}

/// Guards against a coordinator whose messages use up the link of its host.
#[test]
fn deliveries_messages_of_coordinator() {
    for count in [25, 32, 48, 96, 128] {
        let ranks = ranks(count);
        let all: BTreeSet<String> = ranks.values().cloned().collect();
        let tree = RelayTree::new(&ranks, |_| "zone-0");
        let deliveries = tree.deliveries(&name(0), &all);
        let root = count.isqrt() as usize;
        let most = deliveries.iter().map(|delivery| delivery.to.len()).max();
        assert_eq!(deliveries.len(), root, "{count} ranks");
        assert!(most <= Some(root + 3), "{count} ranks: {most:?}");
        let mut expected = all;
        expected.remove(&name(0));
        assert_eq!(recipients(&deliveries), expected);
    }
}

#[test]
fn deliveries_small_group_is_direct() {
    let ranks = ranks(24);
    let all = ranks.values().cloned().collect();
    let tree = RelayTree::new(&ranks, |_| "zone-0");
    assert!(!tree.has_relays());
    let deliveries = tree.deliveries(&name(0), &all);
    assert!(deliveries.iter().all(|d| d.to == [d.via.clone()]));
}

/// Guards against a branch that no message reaches because its relay has failed.
#[test]
fn skip_silent_relays_reaches_branch() {
    let ranks = ranks(96);
    let all: BTreeSet<String> = ranks.values().cloned().collect();
    let mut tree = RelayTree::new(&ranks, |_| "zone-0");
    let before = tree.deliveries(&name(0), &all);
    let silent: BTreeSet<String> = before[4].to.iter().cloned().collect();
    let mut relays = BTreeSet::new();
    for _ in 0..silent.len() {
        let deliveries = tree.deliveries(&name(0), &all);
        assert_eq!(deliveries[3], before[3]);
        assert_eq!(deliveries[4].to, before[4].to);
        relays.insert(deliveries[4].via.clone());
        tree.skip_silent_relays(&name(0), &silent);
    }
    assert_eq!(relays, silent);
}

/// Guards against new links throughout the group whenever one agent is lost.
#[test]
fn new_lost_agent_changes_one_branch() {
    let all = ranks(96);
    let before =
        RelayTree::new(&all, |_| "zone-0").deliveries(&name(0), &all.values().cloned().collect());
    let mut fewer = all;
    fewer.remove(&50);
    let after = RelayTree::new(&fewer, |_| "zone-0")
        .deliveries(&name(0), &fewer.values().cloned().collect());
    let changed = before.iter().zip(&after).filter(|(b, a)| b != a);
    assert_eq!(changed.count(), 1);
}

/// Guards against traffic between zones that grows with the ranks: the answers of a branch
/// are merged by its relay, and only that message may leave the zone.
#[test]
fn new_branches_within_zones() {
    for (count, zones, branches) in [(48, 3, 6), (96, 5, 10), (192, 5, 15)] {
        let ranks = ranks(count);
        let zone_of = |agent: &str| {
            let number: u32 = agent.trim_start_matches("agent-").parse().unwrap();
            ["a", "b", "c", "d", "e"][(number % zones) as usize]
        };
        let tree = RelayTree::new(&ranks, zone_of);
        let all: BTreeSet<String> = ranks.values().cloned().collect();
        let deliveries = tree.deliveries(&name(0), &all);
        assert_eq!(deliveries.len(), branches, "{count} ranks");
        for delivery in &deliveries {
            let zones: BTreeSet<&str> = delivery.to.iter().map(|to| zone_of(to)).collect();
            assert_eq!(zones.len(), 1, "{delivery:?}");
        }
        let mut expected = all;
        expected.remove(&name(0));
        assert_eq!(recipients(&deliveries), expected);
    }
}
