//! Subsets of targets that entries link to.

use member::{hash_name, mix};

/// Minimum number of links of each entry and of each target.
///
/// All entries must have the same settings, since each computes the links of all
/// others by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSettings {
    /// Minimum number of targets of one kind that an entry links to, if there are
    /// that many.
    pub targets: usize,
    /// Minimum number of entries that link to each target, if there are that many.
    pub entries: usize,
}

impl Default for SubsetSettings {
    fn default() -> Self {
        SubsetSettings {
            targets: 6,
            entries: 8,
        }
    }
}

/// An entry or a target with its availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonedNode<'a> {
    /// Name of the entry or target.
    pub name: &'a str,
    /// Name of its availability zone.
    pub zone: &'a str,
}

/// A target that an entry links to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkedTarget {
    /// Position in the list of targets.
    pub target: usize,
    /// Number of entries that link to the target, including this one.
    pub entries: u32,
}

/// Whether an entry can send requests to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The target is reachable.
    Up,
    /// The target was not tried yet, or not for long enough.
    Unknown,
    /// The target is not reachable.
    Down,
}

/// The targets of one kind that an entry links to.
///
/// Links between all entries and all targets would each cost both ends a
/// heartbeat, which with hundreds of entries and targets exceeds the budget of a
/// node. Therefore each entry picks a few targets and each target a few entries,
/// both by rendezvous hashing (Thaler and Ravishankar, 1998), and there is a link
/// wherever either side picked the other. Without the picks of targets, a target
/// might be picked by no entry and stay idle.
///
/// Half of an entry's picks are in its own availability zone, if there are
/// enough targets, for lower latency. The others may be in any zone, so that an
/// entry still has targets after the loss of its zone, and a zone with more
/// callers than targets can use those of others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    linked: Vec<LinkedTarget>,
    reserve: Vec<LinkedTarget>,
}

impl Subset {
    /// Computes the subset of the entry at position `own` in `entries`.
    ///
    /// ```
    /// use route::{Subset, SubsetSettings, ZonedNode};
    ///
    /// let node = |name| ZonedNode { name, zone: "celje" };
    /// let entries = ["entry-1", "entry-2"].map(node);
    /// let targets = ["advisor-01", "advisor-02", "advisor-03"].map(node);
    /// let subset = Subset::of(SubsetSettings::default(), 0, &entries, &targets);
    /// assert_eq!(subset.linked().len(), 3);
    /// assert!(subset.linked().iter().all(|linked| linked.entries == 2));
    /// ```
    #[must_use]
    pub fn of(
        settings: SubsetSettings,
        own: usize,
        entries: &[ZonedNode],
        targets: &[ZonedNode],
    ) -> Subset {
        let graph = Graph::new(entries, targets);
        let mut links = Links::new(entries.len(), targets.len());
        for entry in 0..entries.len() {
            for target in graph.picks_of_entry(entry, settings.targets) {
                links.add(entry, target);
            }
        }
        for target in 0..targets.len() {
            for entry in graph.picks_of_target(target, settings.entries) {
                links.add(entry, target);
            }
        }
        let mut subset = Subset::default();
        for target in graph.by_weight(own) {
            if links.has(own, target) {
                let entries = links.entries_per_target[target];
                subset.linked.push(LinkedTarget { target, entries });
            } else {
                let entries = links.entries_per_target[target] + 1;
                subset.reserve.push(LinkedTarget { target, entries });
            }
        }
        subset
    }

    /// The targets of the subset, which the entry links to in normal operation.
    ///
    /// ```
    /// assert!(route::Subset::default().linked().is_empty());
    /// ```
    #[must_use]
    pub fn linked(&self) -> &[LinkedTarget] {
        &self.linked
    }

    /// The other targets, in the order in which to link to them when too few
    /// targets of the subset are reachable.
    ///
    /// ```
    /// assert!(route::Subset::default().reserve().is_empty());
    /// ```
    #[must_use]
    pub fn reserve(&self) -> &[LinkedTarget] {
        &self.reserve
    }

    /// The targets to link to now: the subset, and targets of the reserve until
    /// `min_usable` targets are not known to be down.
    ///
    /// An entry may lose its whole subset while the other targets still run, for
    /// instance by a network failure, and would have to refuse all its callers
    /// until the end of the failure. Each target of the reserve that is down adds
    /// one target besides its own replacement, so that a few rounds reach any
    /// number of targets.
    ///
    /// ```
    /// use route::{Reachability, Subset, SubsetSettings, ZonedNode};
    ///
    /// let node = |name| ZonedNode { name, zone: "celje" };
    /// let entries = ["entry-1", "entry-2", "entry-3"].map(node);
    /// let targets = ["advisor-01", "advisor-02", "advisor-03", "advisor-04"].map(node);
    /// let settings = SubsetSettings { targets: 1, entries: 1 };
    /// let subset = Subset::of(settings, 0, &entries, &targets);
    /// let healthy = subset.with_reserve(1, |_| Reachability::Up);
    /// assert_eq!(healthy, subset.linked());
    /// let all_down = subset.with_reserve(1, |_| Reachability::Down);
    /// assert_eq!(all_down.len(), 4);
    /// ```
    #[must_use]
    pub fn with_reserve(
        &self,
        min_usable: usize,
        reachability: impl Fn(usize) -> Reachability,
    ) -> Vec<LinkedTarget> {
        let mut chosen = self.linked.clone();
        let usable = chosen
            .iter()
            .filter(|l| reachability(l.target) != Reachability::Down);
        let mut missing = min_usable.saturating_sub(usable.count());
        for linked in &self.reserve {
            if missing == 0 {
                break;
            }
            chosen.push(*linked);
            match reachability(linked.target) {
                Reachability::Down => missing += 1,
                Reachability::Up | Reachability::Unknown => missing -= 1,
            }
        }
        chosen
    }
}

/// Links between entries and targets, with the number of entries per target.
struct Links {
    target_count: usize,
    /// One row of `target_count` cells per entry.
    linked: Vec<bool>,
    entries_per_target: Vec<u32>,
}

impl Links {
    fn new(entries: usize, targets: usize) -> Self {
        Links {
            target_count: targets,
            linked: vec![false; entries * targets],
            entries_per_target: vec![0; targets],
        }
    }

    fn has(&self, entry: usize, target: usize) -> bool {
        let cell = self.linked.get(entry * self.target_count + target);
        cell.copied().unwrap_or(false)
    }

    fn add(&mut self, entry: usize, target: usize) {
        let cell = &mut self.linked[entry * self.target_count + target];
        self.entries_per_target[target] += u32::from(!*cell);
        *cell = true;
    }
}

/// Rendezvous weights between entries and targets. Nodes are pairs of a hash and an
/// availability zone.
struct Graph<'a> {
    entries: Vec<(u64, &'a str)>,
    targets: Vec<(u64, &'a str)>,
}

impl<'a> Graph<'a> {
    fn new(entries: &[ZonedNode<'a>], targets: &[ZonedNode<'a>]) -> Self {
        let hashed = |node: &ZonedNode<'a>| (hash_name(node.name), node.zone);
        Graph {
            entries: entries.iter().map(hashed).collect(),
            // Rotated, so that an entry and a target with the same name differ.
            targets: targets
                .iter()
                .map(hashed)
                .map(|(hash, zone)| (hash.rotate_left(32), zone))
                .collect(),
        }
    }

    fn weight(&self, entry: usize, target: usize) -> u64 {
        mix(self.entries[entry].0 ^ self.targets[target].0)
    }

    /// All targets, in descending order of weight.
    fn by_weight(&self, entry: usize) -> Vec<usize> {
        let mut targets: Vec<usize> = (0..self.targets.len()).collect();
        if entry < self.entries.len() {
            targets.sort_by_cached_key(|target| std::cmp::Reverse(self.weight(entry, *target)));
        }
        targets
    }

    fn picks_of_entry(&self, entry: usize, count: usize) -> Vec<usize> {
        let zone = self.entries[entry].1;
        let weight = |target: &usize| self.weight(entry, *target);
        let (same_zone, mut remaining): (Vec<usize>, Vec<usize>) =
            (0..self.targets.len()).partition(|target| self.targets[*target].1 == zone);
        let (mut picks, rest) = heaviest(same_zone, count.div_ceil(2), weight);
        remaining.extend(rest);
        let (others, _) = heaviest(remaining, count - picks.len(), weight);
        picks.extend(others);
        picks
    }

    fn picks_of_target(&self, target: usize, count: usize) -> Vec<usize> {
        let entries = (0..self.entries.len()).collect();
        heaviest(entries, count, |entry| self.weight(*entry, target)).0
    }
}

/// Splits the items into the `count` of the highest weight and the rest.
fn heaviest(
    mut items: Vec<usize>,
    count: usize,
    weight: impl Fn(&usize) -> u64,
) -> (Vec<usize>, Vec<usize>) {
    if count == 0 {
        return (Vec::new(), items);
    }
    if items.len() <= count {
        return (items, Vec::new());
    }
    let mut weighted: Vec<(u64, usize)> = items.drain(..).map(|i| (weight(&i), i)).collect();
    weighted.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
    let rest = weighted.split_off(count);
    let strip = |rows: Vec<(u64, usize)>| rows.into_iter().map(|(_, item)| item).collect();
    (strip(weighted), strip(rest))
}
