//! Who renews through whom.

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

fn renewers(rows: &[(String, bool)]) -> Vec<RelayCandidate<'_>> {
    let rows = rows.iter();
    rows.map(|(name, accepts_links)| RelayCandidate {
        name,
        accepts_links: *accepts_links,
    })
    .collect()
}

fn paths(rows: &[(String, bool)]) -> BTreeMap<&str, RenewalPath<'_>> {
    let zone = renewers(rows);
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

/// A node that renewed through one which itself renews through another would depend on
/// both, and a circle of them would never reach the leader.
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

/// Small zones renew straight, and a larger one has just so many relays as its size
/// takes, as far as its nodes accept links.
#[test]
fn renewal_path_by_size() {
    fn property(zone: Zone) -> bool {
        let paths = paths(&zone.0);
        let count = |path| paths.values().filter(|other| **other == path).count();
        let able = zone
            .0
            .iter()
            .filter(|(_, accepts_links)| *accepts_links)
            .count();
        if zone.0.len() <= MAX_DIRECT_RENEWALS || able == 0 {
            return count(RenewalPath::Direct) == zone.0.len();
        }
        count(RenewalPath::Direct) == 0
            && count(RenewalPath::Relay) == zone.0.len().div_ceil(NODES_PER_RELAY).min(able)
    }
    check(property);
}

/// A relay dies. If the others changed theirs as well, each death would have the whole
/// zone dial anew. At most one more relay comes or goes for the zone's size.
#[test]
fn renewal_path_relay_gone_few_move() {
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
        let moved_needlessly = after.iter().any(|(name, path)| match (before[name], path) {
            (RenewalPath::Through(old), RenewalPath::Through(new)) if old != *new => {
                old != *gone && added == 0 && paths_has(&after, old)
            }
            _ => false,
        });
        kept + 2 >= old.len() && added <= 1 && !moved_needlessly
    }
    check(property);
}

fn paths_has(paths: &BTreeMap<&str, RenewalPath<'_>>, relay: &str) -> bool {
    paths.get(relay) == Some(&RenewalPath::Relay)
}

/// The relays of a large zone carry about as many nodes each.
#[test]
fn renewal_path_spread() {
    let rows: Vec<(String, bool)> = (0..170)
        .map(|n| (format!("node-{n:03}"), n % 2 == 0))
        .collect();
    let mut carried: BTreeMap<&str, usize> = BTreeMap::new();
    for path in paths(&rows).into_values() {
        if let RenewalPath::Through(relay) = path {
            *carried.entry(relay).or_default() += 1;
        }
    }
    assert_eq!(carried.len(), 11);
    assert!(
        carried.values().all(|count| *count <= NODES_PER_RELAY * 2),
        "{carried:?}"
    );
}
