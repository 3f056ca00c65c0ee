//! Which targets an entry keeps links to.

#![allow(
    clippy::needless_pass_by_value,
    reason = "quickcheck hands over what it makes"
)]

use quickcheck::{Arbitrary, Gen, QuickCheck};
use route::{Reachability, Subset, SubsetSettings, ZonedNode};
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 3] = ["oberpfalz", "allgaeu", "franken"];
const LETTER_ENTRIES: usize = 411;

/// A deployment of some size; the last entry and target are the ones to go.
#[derive(Clone, Debug)]
struct Deployment {
    entries: Vec<(String, usize)>,
    targets: Vec<(String, usize)>,
    cfg: SubsetSettings,
}

impl Arbitrary for Deployment {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = |g: &mut Gen, most: usize| usize::arbitrary(g) % most + 2;
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
            cfg: SubsetSettings {
                targets: usize::arbitrary(g) % 9 + 1,
                entries: usize::arbitrary(g) % 9 + 1,
            },
        }
    }
}

fn sites(rows: &[(String, usize)]) -> Vec<ZonedNode<'_>> {
    let site = |row: &'_ (String, usize)| row.1;
    rows.iter()
        .map(|row| ZonedNode {
            name: &row.0,
            zone: ZONES[site(row)],
        })
        .collect()
}

/// Names of the targets that each entry links.
fn graph<'a>(
    cfg: SubsetSettings,
    entries: &'a [(String, usize)],
    targets: &'a [(String, usize)],
) -> BTreeMap<&'a str, BTreeSet<&'a str>> {
    let (entry_sites, target_sites) = (sites(entries), sites(targets));
    let links = entries.iter().enumerate().map(|(me, entry)| {
        let subset = Subset::of(cfg, me, &entry_sites, &target_sites);
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

/// A target that no entry linked would stand idle while callers wait elsewhere, and an
/// entry with one link would refuse its callers at the loss of one target.
#[test]
fn of_all_covered_and_bounded() {
    fn property(d: Deployment) -> bool {
        let links = graph(d.cfg, &d.entries, &d.targets);
        let least_targets = d.cfg.targets.min(d.targets.len());
        let least_entries = d.cfg.entries.min(d.entries.len());
        let entries_of = |target: &str| links.values().filter(|l| l.contains(target)).count();
        let total: usize = links.values().map(BTreeSet::len).sum();
        let bound = d.entries.len() * d.cfg.targets + d.targets.len() * d.cfg.entries;
        links.values().all(|linked| linked.len() >= least_targets)
            && d.targets.iter().all(|t| entries_of(&t.0) >= least_entries)
            && total <= bound
    }
    check(property);
}

/// Each entry gives its targets its own part of their places. If it took fewer entries
/// to share a target than do, the target would be filled beyond its places.
#[test]
fn of_counts_the_entries_of_each_target() {
    fn property(d: Deployment) -> bool {
        let links = graph(d.cfg, &d.entries, &d.targets);
        let (entries, targets) = (sites(&d.entries), sites(&d.targets));
        (0..entries.len()).all(|me| {
            let subset = Subset::of(d.cfg, me, &entries, &targets);
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

/// A target goes. If the others' links moved with it, each restart of a target would
/// have all entries dial anew.
#[test]
fn of_target_gone_few_move() {
    fn property(d: Deployment) -> bool {
        let before = graph(d.cfg, &d.entries, &d.targets);
        let (gone, left) = d.targets.split_last().unwrap();
        let after = graph(d.cfg, &d.entries, left);
        before.iter().all(|(entry, before)| {
            let after = &after[entry];
            let lost: Vec<_> = before.difference(after).collect();
            let gained = after.difference(before).count();
            lost.iter().all(|name| **name == gone.0) && gained <= lost.len()
        })
    }
    check(property);
}

/// An entry goes. Its targets turn to others; nobody else lets one go.
#[test]
fn of_entry_gone_few_move() {
    fn property(d: Deployment) -> bool {
        let before = graph(d.cfg, &d.entries, &d.targets);
        let (gone, left) = d.entries.split_last().unwrap();
        let after = graph(d.cfg, left, &d.targets);
        let mut gained = BTreeMap::new();
        let none_lost = left.iter().all(|(entry, _)| {
            let (before, after) = (&before[entry.as_str()], &after[entry.as_str()]);
            for target in after.difference(before) {
                *gained.entry(*target).or_insert(0) += 1;
            }
            before.is_subset(after)
        });
        let of_gone = &before[gone.0.as_str()];
        none_lost && gained.iter().all(|(t, n)| of_gone.contains(t) && *n == 1)
    }
    check(property);
}

/// With today's four entries, and twice as many, every entry links every target.
#[test]
fn of_today_all() {
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
fn of_own_zone_preferred() {
    let cfg = SubsetSettings {
        targets: 6,
        entries: 1,
    };
    let row = |kind: &str, n: usize| (format!("{kind}-{n:03}"), n % ZONES.len());
    let entries: Vec<_> = (0..LETTER_ENTRIES).map(|n| row("entry", n)).collect();
    let targets: Vec<_> = (0..86).map(|n| row("advisor", n)).collect();
    let zone_of: BTreeMap<&str, usize> = targets.iter().map(|t| (t.0.as_str(), t.1)).collect();
    let links = graph(cfg, &entries, &targets);
    for (name, zone) in &entries {
        let linked = &links[name.as_str()];
        let near = linked.iter().filter(|t| zone_of[*t] == *zone).count();
        assert!(near >= 3, "{name}: {near} of {} are near", linked.len());
    }
}

/// The network fails between an entry and all targets but one, which is not of its
/// subset. If the entry gave up after its subset, all its callers would be refused while
/// a target lives; if it turned to all others at once, each small fault would have it
/// dial hundreds.
#[test]
fn with_reserve_finds_the_one_alive() {
    fn property(d: Deployment) -> bool {
        let (entries, targets) = (sites(&d.entries), sites(&d.targets));
        let subset = Subset::of(d.cfg, 0, &entries, &targets);
        let least = d.cfg.targets;
        (0..targets.len()).all(|alive| {
            let mut tried: BTreeSet<usize> = subset.linked().iter().map(|l| l.target).collect();
            for _ in 0..10 {
                let reach = |target: usize| match (target == alive, tried.contains(&target)) {
                    (_, false) => Reachability::Unknown,
                    (true, true) => Reachability::Up,
                    (false, true) => Reachability::Down,
                };
                let chosen = subset.with_reserve(least, reach);
                let chosen: BTreeSet<usize> = chosen.iter().map(|l| l.target).collect();
                let grown = chosen.difference(&tried).count();
                if grown > least + tried.len() {
                    return false;
                }
                tried = chosen;
            }
            tried.contains(&alive)
        })
    }
    check(property);
}
