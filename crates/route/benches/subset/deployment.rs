//! Entries and targets of a deployment, and the links between them.

use route::{Subset, SubsetSettings, ZonedNode};
use std::collections::{BTreeMap, BTreeSet};

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// The name and zone of a node.
type Node = (String, &'static str);

/// Entries and targets of each kind, spread over the zones.
#[derive(Clone)]
pub struct Deployment {
    pub entries: Vec<Node>,
    pub kinds: Vec<Vec<Node>>,
}

/// Links between entries and targets.
pub struct Graph {
    /// Names of linked targets by entry and kind.
    pub links: BTreeMap<String, Vec<BTreeSet<String>>>,
    /// Names of targets by kind.
    pub targets: Vec<Vec<String>>,
}

impl Deployment {
    pub fn new(entries: usize, kinds: &[usize]) -> Self {
        let nodes = |prefix: &str, count: usize| -> Vec<Node> {
            let node = |n: usize| (format!("{prefix}-{n:03}"), ZONES[n % ZONES.len()]);
            (0..count).map(node).collect()
        };
        let kinds = kinds.iter().enumerate();
        Deployment {
            entries: nodes("entry", entries),
            kinds: kinds
                .map(|(kind, count)| nodes(&format!("target-{kind}"), *count))
                .collect(),
        }
    }

    pub fn target_count(&self) -> usize {
        self.kinds.iter().map(Vec::len).sum()
    }

    pub fn without_targets(&self, count: usize) -> Self {
        let mut remaining = self.clone();
        let kept = remaining.kinds[0].len() - count;
        remaining.kinds[0].truncate(kept);
        remaining
    }

    pub fn without_entries(&self, count: usize) -> Self {
        let mut remaining = self.clone();
        remaining.entries.truncate(self.entries.len() - count);
        remaining
    }

    pub fn without_zone(&self, zone: usize) -> Self {
        let mut remaining = self.clone();
        let remains = |node: &Node| node.1 != ZONES[zone];
        remaining.entries.retain(remains);
        for kind in &mut remaining.kinds {
            kind.retain(remains);
        }
        remaining
    }

    /// Computes the subsets of one entry, as after each change.
    pub fn subsets_of(&self, own: usize, settings: SubsetSettings) -> Vec<Subset> {
        let entries = zoned_nodes(&self.entries);
        let kinds = self.kinds.iter();
        kinds
            .map(|kind| Subset::of(settings, own, &entries, &zoned_nodes(kind)))
            .collect()
    }

    pub fn graph(&self, settings: SubsetSettings) -> Graph {
        let names = |kind: &Vec<Node>| kind.iter().map(|node| node.0.clone()).collect();
        let links = self.entries.iter().enumerate().map(|(own, entry)| {
            let subsets = self.subsets_of(own, settings).into_iter().zip(&self.kinds);
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
    pub fn links_per_entry(&self) -> Vec<usize> {
        let entries = self.links.values();
        entries
            .map(|kinds| kinds.iter().map(BTreeSet::len).sum())
            .collect()
    }

    pub fn entries_per_target(&self) -> Vec<usize> {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for target in self.targets.iter().flatten() {
            counts.insert(target, 0);
        }
        for target in self.links.values().flatten().flatten() {
            *counts.entry(target).or_default() += 1;
        }
        counts.into_values().collect()
    }

    /// Compares the links of entries that are in both graphs. Returns the number of links
    /// before, of those added, and of those removed although their target remains.
    pub fn changes(&self, after: &Graph) -> (usize, usize, usize) {
        let live: BTreeSet<&String> = after.targets.iter().flatten().collect();
        let (mut total, mut added, mut removed) = (0, 0, 0);
        for (entry, after) in &after.links {
            for (before, after) in self.links[entry].iter().zip(after) {
                total += before.len();
                added += after.difference(before).count();
                let gone = before.difference(after);
                removed += gone.filter(|target| live.contains(target)).count();
            }
        }
        (total, added, removed)
    }
}

fn zoned_nodes(nodes: &[Node]) -> Vec<ZonedNode<'_>> {
    let zone = |node: &'_ Node| node.1;
    nodes
        .iter()
        .map(|node| ZonedNode {
            name: &node.0,
            zone: zone(node),
        })
        .collect()
}
