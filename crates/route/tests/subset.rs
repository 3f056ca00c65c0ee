//! Subsets of targets that entries link to.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes arguments by value"
)]

use quickcheck::{Arbitrary, Gen, QuickCheck};
use route::{Reachability, Subset, SubsetSettings, ZonedNode};
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 3] = ["oberpfalz", "allgaeu", "franken"];
const ENTRIES_IN_LARGE_DEPLOYMENT: usize = 411;

/// A deployment of random size. Tests remove its last entry or target.
#[derive(Clone, Debug)]
struct Deployment {
    entries: Vec<(String, usize)>,
    targets: Vec<(String, usize)>,
    settings: SubsetSettings,
}

impl Arbitrary for Deployment {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = |g: &mut Gen, range: usize| usize::arbitrary(g) % range + 2;
        let entries = count(g, 40);
        let targets = count(g, 60);
        let salt = u16::arbitrary(g);
        let mut named = |kind: &str, count: usize| -> Vec<(String, usize)> {
            let zone = |g: &mut Gen| usize::arbitrary(g) % ZONES.len();
            (0..count)
                .map(|n| (format!("{kind}-{salt}-{n}"), zone(g)))
                .collect()
        };
        Deployment {
            entries: named("entry", entries),
            targets: named("advisor", targets),
            settings: SubsetSettings {
                targets: usize::arbitrary(g) % 9 + 1,
                entries: usize::arbitrary(g) % 9 + 1,
            },
        }
    }
}

fn nodes(rows: &[(String, usize)]) -> Vec<ZonedNode<'_>> {
    let zone = |row: &'_ (String, usize)| row.1;
    rows.iter()
        .map(|row| ZonedNode {
            name: &row.0,
            zone: ZONES[zone(row)],
        })
        .collect()
}

/// Names of the targets that each entry links to.
fn graph<'a>(
    settings: SubsetSettings,
    entries: &'a [(String, usize)],
    targets: &'a [(String, usize)],
) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
    let (entry_nodes, target_nodes) = (nodes(entries), nodes(targets));
    let links = entries.iter().enumerate().map(|(own, entry)| {
        let subset = Subset::of(settings, own, &entry_nodes, &target_nodes);
        let linked = subset.linked().iter();
        let names = linked.map(|linked| targets[linked.target].0.as_str());
        (entry.0.as_str(), names.collect())
    });
    links.collect()
}

fn check(property: fn(Deployment) -> bool) {
    QuickCheck::new()
        .tests(200)
        .rng(Gen::from_size_and_seed(100, 11))
        .quickcheck(property);
}

/// Guards against too few links: a target without links would be idle while requests wait
/// elsewhere, and an entry with one link would refuse its callers after the loss of one
/// target. The total number of links must be bounded as well.
#[test]
fn of_covers_all_targets_with_bounded_links() {
    fn property(d: Deployment) -> bool {
        let links = graph(d.settings, &d.entries, &d.targets);
        let min_targets = d.settings.targets.min(d.targets.len());
        let min_entries = d.settings.entries.min(d.entries.len());
        let entries_of = |target: &str| links.values().filter(|l| l.contains(target)).count();
        let total: usize = links.values().map(BTreeSet::len).sum();
        let bound = d.entries.len() * d.settings.targets + d.targets.len() * d.settings.entries;
        links.values().all(|linked| linked.len() >= min_targets)
            && d.targets.iter().all(|t| entries_of(&t.0) >= min_entries)
            && total <= bound
    }
    check(property);
}

/// Guards against undercounting the entries that share a target. Each entry uses its own
/// share of the target's slots, so the target would be overloaded.
#[test]
fn of_counts_entries_of_each_target() {
    fn property(d: Deployment) -> bool {
        let links = graph(d.settings, &d.entries, &d.targets);
        let (entries, targets) = (nodes(&d.entries), nodes(&d.targets));
        (0..entries.len()).all(|own| {
            let subset = Subset::of(d.settings, own, &entries, &targets);
            let all = subset.linked().len() + subset.reserve().len();
            let counted = subset.linked().iter().all(|linked| {
                let name = targets[linked.target].name;
                let sharing = links.values().filter(|l| l.contains(name)).count();
                usize::try_from(linked.entries) == Ok(sharing)
            });
            counted && all == targets.len()
        })
    }
    check(property);
}

/// Guards against changing links to other targets when a target is removed. Each restart of
/// a target would make all entries open new connections.
#[test]
fn of_moves_few_links_when_target_is_removed() {
    fn property(d: Deployment) -> bool {
        let before = graph(d.settings, &d.entries, &d.targets);
        let (removed, remaining) = d.targets.split_last().unwrap();
        let after = graph(d.settings, &d.entries, remaining);
        before.iter().all(|(entry, before)| {
            let after = &after[entry];
            let lost: Vec<_> = before.difference(after).collect();
            let gained = after.difference(before).count();
            lost.iter().all(|name| **name == removed.0) && gained <= lost.len()
        })
    }
    check(property);
}

/// Guards against dropping links of the remaining entries when an entry is removed. Only its
/// own targets may get links to other entries.
#[test]
fn of_moves_few_links_when_entry_is_removed() {
    fn property(d: Deployment) -> bool {
        let before = graph(d.settings, &d.entries, &d.targets);
        let (removed, remaining) = d.entries.split_last().unwrap();
        let after = graph(d.settings, remaining, &d.targets);
        let mut gained = BTreeMap::new();
        let none_lost = remaining.iter().all(|(entry, _)| {
            let (before, after) = (&before[entry.as_str()], &after[entry.as_str()]);
            for target in after.difference(before) {
                *gained.entry(*target).or_insert(0) += 1;
            }
            before.is_subset(after)
        });
        let of_removed = &before[removed.0.as_str()];
        none_lost
            && gained
                .iter()
                .all(|(t, n)| of_removed.contains(t) && *n == 1)
    }
    check(property);
}

/// In a small deployment of up to eight entries, every entry links to every target.
#[test]
fn of_links_all_targets_in_small_deployment() {
    for count in [1, 4, 8] {
        let row = |kind: &str, n: usize| (format!("{kind}-{n:02}"), n % ZONES.len());
        let entries: Vec<_> = (0..count).map(|n| row("entry", n)).collect();
        let targets: Vec<_> = (0..16).map(|n| row("advisor", n)).collect();
        let links = graph(SubsetSettings::default(), &entries, &targets);
        assert!(links.values().all(|linked| linked.len() == 16));
    }
}

/// Half of an entry's picks are in its own availability zone.
#[test]
fn of_prefers_own_zone() {
    let settings = SubsetSettings {
        targets: 6,
        entries: 1,
    };
    let row = |kind: &str, n: usize| (format!("{kind}-{n:03}"), n % ZONES.len());
    let entries: Vec<_> = (0..ENTRIES_IN_LARGE_DEPLOYMENT)
        .map(|n| row("entry", n))
        .collect();
    let targets: Vec<_> = (0..86).map(|n| row("advisor", n)).collect();
    let zone_of: BTreeMap<&str, usize> = targets.iter().map(|t| (t.0.as_str(), t.1)).collect();
    let links = graph(settings, &entries, &targets);
    for (name, zone) in &entries {
        let linked = &links[name.as_str()];
        let same_zone = linked.iter().filter(|t| zone_of[*t] == *zone).count();
        assert!(
            same_zone >= 3,
            "{name}: {same_zone} of {} are in its zone",
            linked.len()
        );
    }
}

/// Guards against not finding the only reachable target if it is not in the subset, which
/// would refuse all callers of the entry, and against linking to hundreds of targets at
/// once after each small fault.
#[test]
fn with_reserve_finds_only_reachable_target() {
    fn property(d: Deployment) -> bool {
        let (entries, targets) = (nodes(&d.entries), nodes(&d.targets));
        let subset = Subset::of(d.settings, 0, &entries, &targets);
        let min_usable = d.settings.targets;
        (0..targets.len()).all(|reachable| {
            let mut tried: BTreeSet<usize> = subset.linked().iter().map(|l| l.target).collect();
            for _ in 0..10 {
                let reachability =
                    |target: usize| match (target == reachable, tried.contains(&target)) {
                        (_, false) => Reachability::Unknown,
                        (true, true) => Reachability::Up,
                        (false, true) => Reachability::Down,
                    };
                let chosen = subset.with_reserve(min_usable, reachability);
                let chosen: BTreeSet<usize> = chosen.iter().map(|l| l.target).collect();
                let added = chosen.difference(&tried).count();
                if added > min_usable + tried.len() {
                    return false;
                }
                tried = chosen;
            }
            tried.contains(&reachable)
        })
    }
    check(property);
}
