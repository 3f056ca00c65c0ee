//! Selection of the relays of renewals.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck gives its arguments by value"
)]

use member::{MAX_DIRECT_RENEWALS, NODES_PER_RELAY, RelayCandidate, RenewalPath, renewal_path};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;

/// The nodes of a zone, some of which accept links.
#[derive(Clone, Debug)]
struct Zone(Vec<(String, bool)>);

impl Arbitrary for Zone {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 200 + 2;
        let salt = u16::arbitrary(g);
        let row = |n: usize| (format!("node-{salt}-{n}"), bool::arbitrary(g));
        Zone((0..count).map(row).collect())
    }
}

fn candidates(rows: &[(String, bool)]) -> Vec<RelayCandidate<'_>> {
    let rows = rows.iter();
    rows.map(|(name, accepts_links)| RelayCandidate {
        name,
        accepts_links: *accepts_links,
    })
    .collect()
}

fn paths(rows: &[(String, bool)]) -> BTreeMap<&str, RenewalPath<'_>> {
    let zone = candidates(rows);
    zone.iter()
        .map(|me| (me.name, renewal_path(*me, &zone)))
        .collect()
}

fn check(property: fn(Zone) -> bool) {
    QuickCheck::new()
        .tests(300)
        .rng(Gen::from_size_and_seed(200, 11))
        .quickcheck(property);
}

/// Guards against chains of relays: a node would depend on two others, and a cycle would
/// never reach the leader.
#[test]
fn renewal_path_through_relays_only() {
    fn property(zone: Zone) -> bool {
        let paths = paths(&zone.0);
        paths.values().all(|path| match path {
            RenewalPath::Through(relay) => paths[relay] == RenewalPath::Relay,
            RenewalPath::Direct | RenewalPath::Relay => true,
        })
    }
    check(property);
}

/// Nodes of small zones renew directly. A larger zone has as many relays as its size
/// requires, limited by the number of nodes that accept links.
#[test]
fn renewal_path_by_size() {
    fn property(zone: Zone) -> bool {
        let paths = paths(&zone.0);
        let count = |path| paths.values().filter(|other| **other == path).count();
        let candidates = zone
            .0
            .iter()
            .filter(|(_, accepts_links)| *accepts_links)
            .count();
        if zone.0.len() <= MAX_DIRECT_RENEWALS || candidates == 0 {
            return count(RenewalPath::Direct) == zone.0.len();
        }
        count(RenewalPath::Direct) == 0
            && count(RenewalPath::Relay) == zone.0.len().div_ceil(NODES_PER_RELAY).min(candidates)
    }
    check(property);
}

/// Guards against a relay failure reassigning nodes of other relays, which would make
/// the whole zone reconnect. The change of the zone's size adds or removes at most one
/// more relay.
#[test]
fn renewal_path_relay_gone_few_reassigned() {
    fn property(zone: Zone) -> bool {
        let before = paths(&zone.0);
        let relay = before.iter().find(|(_, path)| **path == RenewalPath::Relay);
        let Some((gone, _)) = relay else {
            return true;
        };
        let mut left = zone.0.clone();
        left.retain(|(name, _)| name != gone);
        let after = paths(&left);
        if left.len() <= MAX_DIRECT_RENEWALS {
            return true;
        }
        let relays = |paths: &BTreeMap<&str, RenewalPath<'_>>| {
            let relays = paths
                .iter()
                .filter(|(_, path)| **path == RenewalPath::Relay);
            relays
                .map(|(name, _)| (*name).to_owned())
                .collect::<Vec<_>>()
        };
        let (old, new) = (relays(&before), relays(&after));
        let kept = old.iter().filter(|name| new.contains(name)).count();
        let added = new.len() - kept;
        let reassigned_needlessly = after.iter().any(|(name, path)| match (before[name], path) {
            (RenewalPath::Through(old), RenewalPath::Through(new)) if old != *new => {
                old != *gone && added == 0 && is_relay(&after, old)
            }
            _ => false,
        });
        kept + 2 >= old.len() && added <= 1 && !reassigned_needlessly
    }
    check(property);
}

fn is_relay(paths: &BTreeMap<&str, RenewalPath<'_>>, relay: &str) -> bool {
    paths.get(relay) == Some(&RenewalPath::Relay)
}

/// The nodes of a large zone are spread evenly over its relays.
#[test]
fn renewal_path_spread() {
    let rows: Vec<(String, bool)> = (0..170)
        .map(|n| (format!("node-{n:03}"), n % 2 == 0))
        .collect();
    let mut nodes_by_relay: BTreeMap<&str, usize> = BTreeMap::new();
    for path in paths(&rows).into_values() {
        if let RenewalPath::Through(relay) = path {
            *nodes_by_relay.entry(relay).or_default() += 1;
        }
    }
    assert_eq!(nodes_by_relay.len(), 11);
    assert!(
        nodes_by_relay
            .values()
            .all(|count| *count <= NODES_PER_RELAY * 2),
        "{nodes_by_relay:?}"
    );
}
