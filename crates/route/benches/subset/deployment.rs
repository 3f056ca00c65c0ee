//! Entries and targets of a deployment, and the links between them.

use route::{Subset, SubsetSettings, ZonedNode};
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// A name and its zone.
type Row = (String, &'static str);

/// Entries and the targets of each kind, spread over the zones.
#[derive(Clone)]
pub struct Deployment {
    pub entries: Vec<Row>,
    pub kinds: Vec<Vec<Row>>,
}

/// Which entry links which targets, by name and kind.
pub struct Graph {
    pub links: BTreeMap<String, Vec<BTreeSet<String>>>,
    pub targets: Vec<Vec<String>>,
}

impl Deployment {
    pub fn new(entries: usize, kinds: &[usize]) -> Self {
        let rows = |prefix: &str, count: usize| -> Vec<Row> {
            let row = |n: usize| (format!("{prefix}-{n:03}"), ZONES[n % ZONES.len()]);
            (0..count).map(row).collect()
        };
        let kinds = kinds.iter().enumerate();
        Deployment {
            entries: rows("entry", entries),
            kinds: kinds
                .map(|(kind, count)| rows(&format!("target-{kind}"), *count))
                .collect(),
        }
    }

    pub fn targets(&self) -> usize {
        self.kinds.iter().map(Vec::len).sum()
    }

    pub fn without_targets(&self, count: usize) -> Self {
        let mut left = self.clone();
        let kept = left.kinds[0].len() - count;
        left.kinds[0].truncate(kept);
        left
    }

    pub fn without_entries(&self, count: usize) -> Self {
        let mut left = self.clone();
        left.entries.truncate(self.entries.len() - count);
        left
    }

    pub fn without_zone(&self, zone: usize) -> Self {
        let mut left = self.clone();
        let stays = |row: &Row| row.1 != ZONES[zone];
        left.entries.retain(stays);
        for kind in &mut left.kinds {
            kind.retain(stays);
        }
        left
    }

    /// What one entry works out at a change.
    pub fn subsets_of(&self, me: usize, cfg: SubsetSettings) -> Vec<Subset> {
        let entries = sites(&self.entries);
        let kinds = self.kinds.iter();
        kinds
            .map(|kind| Subset::of(cfg, me, &entries, &sites(kind)))
            .collect()
    }

    pub fn graph(&self, cfg: SubsetSettings) -> Graph {
        let names = |kind: &Vec<Row>| kind.iter().map(|row| row.0.clone()).collect();
        let links = self.entries.iter().enumerate().map(|(me, entry)| {
            let subsets = self.subsets_of(me, cfg).into_iter().zip(&self.kinds);
            let linked = subsets.map(|(subset, kind)| {
                let linked = subset.linked().iter();
                linked.map(|l| kind[l.target].0.clone()).collect()
            });
            (entry.0.clone(), linked.collect())
        });
        Graph {
            links: links.collect(),
            targets: self.kinds.iter().map(names).collect(),
        }
    }
}

impl Graph {
    pub fn per_entry(&self) -> Vec<usize> {
        let entries = self.links.values();
        entries
            .map(|kinds| kinds.iter().map(BTreeSet::len).sum())
            .collect()
    }

    pub fn per_target(&self) -> Vec<usize> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for target in self.targets.iter().flatten() {
            counts.insert(target, 0);
        }
        for target in self.links.values().flatten().flatten() {
            *counts.entry(target).or_default() += 1;
        }
        counts.into_values().collect()
    }

    /// Links of the entries that are in both, those new in `after`, and those
    /// gone from it though their target is still there.
    pub fn moves(&self, after: &Graph) -> (usize, usize, usize) {
        let live: BTreeSet<&String> = after.targets.iter().flatten().collect();
        let (mut stay, mut dialled, mut let_go) = (0, 0, 0);
        for (entry, after) in &after.links {
            for (before, after) in self.links[entry].iter().zip(after) {
                stay += before.len();
                dialled += after.difference(before).count();
                let gone = before.difference(after);
                let_go += gone.filter(|target| live.contains(target)).count();
            }
        }
        (stay, dialled, let_go)
    }
}

fn sites(rows: &[Row]) -> Vec<ZonedNode<'_>> {
    let site = |row: &'_ Row| row.1;
    rows.iter()
        .map(|row| ZonedNode {
            name: &row.0,
            zone: site(row),
        })
        .collect()
}
