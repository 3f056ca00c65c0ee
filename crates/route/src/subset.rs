//! Which targets an entry keeps links to.

use member::{hash_name, mix};

/// Fewest links of each entry and of each target.
///
/// All entries must hold the same settings: each works out by itself what the
/// others do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SubsetSettings {
    /// Targets of one kind that an entry links at least, as far as there are
    /// so many.
    pub targets: usize,
    /// Entries that link each target at least, as far as there are so many.
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

/// An entry or a target, and the availability zone that it stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZonedNode<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
}

/// A target of an entry's subset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkedTarget {
    /// Position among the targets.
    pub target: usize,
    /// Entries that link it, this one included.
    pub entries: u32,
}

/// Whether a target can be given work, as far as an entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// It can.
    Up,
    /// It was not tried, or not for long enough.
    Unknown,
    /// It can't.
    Down,
}

/// The targets of one kind that an entry keeps links to.
///
/// Links of each entry to each target would cost both ends a heartbeat for
/// each: at hundreds of entries and targets that alone is more than a node may
/// spend. So each entry picks a few targets and each target a few entries, both
/// by rendezvous hashing (Thaler and Ravishankar, 1998), and what either side
/// picked is linked. Without the second pick a target could be left out by all
/// entries, and its places would stay empty.
///
/// Half of an entry's picks are in its own availability zone, if there are so
/// many: the nearer ones answer sooner. The others are anywhere, so that the
/// loss of a zone leaves it some, and a zone with more callers than targets
/// gives work to the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Subset {
    linked: Vec<LinkedTarget>,
    reserve: Vec<LinkedTarget>,
}

impl Subset {
    /// The subset of the entry at position `me` of `entries`.
    ///
    /// ```
    /// use route::{ZonedNode, Subset, SubsetSettings};
    ///
    /// let site = |name| ZonedNode { name, zone: "celje" };
    /// let entries = ["entry-1", "entry-2"].map(site);
    /// let targets = ["advisor-01", "advisor-02", "advisor-03"].map(site);
    /// let all = Subset::of(SubsetSettings::default(), 0, &entries, &targets);
    /// assert_eq!(all.linked().len(), 3);
    /// assert!(all.linked().iter().all(|linked| linked.entries == 2));
    /// ```
    #[must_use]
    pub fn of(
        cfg: SubsetSettings,
        me: usize,
        entries: &[ZonedNode],
        targets: &[ZonedNode],
    ) -> Subset {
        let graph = Graph::new(entries, targets);
        let mut links = Links::new(entries.len(), targets.len());
        for entry in 0..entries.len() {
            for target in graph.picks_of_entry(entry, cfg.targets) {
                links.add(entry, target);
            }
        }
        for target in 0..targets.len() {
            for entry in graph.picks_of_target(target, cfg.entries) {
                links.add(entry, target);
            }
        }
        let mut subset = Subset::default();
        for target in graph.by_weight(me) {
            if links.has(me, target) {
                let entries = links.entries[target];
                subset.linked.push(LinkedTarget { target, entries });
            } else {
                let entries = links.entries[target] + 1;
                subset.reserve.push(LinkedTarget { target, entries });
            }
        }
        subset
    }

    /// The targets to keep links to.
    ///
    /// ```
    /// assert!(route::Subset::default().linked().is_empty());
    /// ```
    #[must_use]
    pub fn linked(&self) -> &[LinkedTarget] {
        &self.linked
    }

    /// The other targets, in the order in which to turn to them when too few of
    /// the subset can be reached.
    ///
    /// ```
    /// assert!(route::Subset::default().reserve().is_empty());
    /// ```
    #[must_use]
    pub fn reserve(&self) -> &[LinkedTarget] {
        &self.reserve
    }

    /// The targets to link now: the subset, and as many of the others as it takes
    /// for `least` that may be up.
    ///
    /// An entry may lose its whole subset while the rest of the targets live, for
    /// instance when the network fails between them. Its callers would be refused
    /// for as long as that lasts. Each target of the reserve that is down as well
    /// asks for one more besides its own replacement, so that a few steps go
    /// through any number of them.
    ///
    /// ```
    /// use route::{Reachability, ZonedNode, Subset, SubsetSettings};
    ///
    /// let site = |name| ZonedNode { name, zone: "celje" };
    /// let entries = ["entry-1", "entry-2", "entry-3"].map(site);
    /// let targets = ["advisor-01", "advisor-02", "advisor-03", "advisor-04"].map(site);
    /// let cfg = SubsetSettings { targets: 1, entries: 1 };
    /// let subset = Subset::of(cfg, 0, &entries, &targets);
    /// let usual = subset.with_reserve(1, |_| Reachability::Up);
    /// assert_eq!(usual, subset.linked());
    /// let lost = subset.with_reserve(1, |_| Reachability::Down);
    /// assert_eq!(lost.len(), 4);
    /// ```
    #[must_use]
    pub fn with_reserve(
        &self,
        least: usize,
        reach: impl Fn(usize) -> Reachability,
    ) -> Vec<LinkedTarget> {
        let mut chosen = self.linked.clone();
        let hopeful = chosen
            .iter()
            .filter(|l| reach(l.target) != Reachability::Down);
        let mut short = least.saturating_sub(hopeful.count());
        for linked in &self.reserve {
            if short == 0 {
                break;
            }
            chosen.push(*linked);
            match reach(linked.target) {
                Reachability::Down => short += 1,
                Reachability::Up | Reachability::Unknown => short -= 1,
            }
        }
        chosen
    }
}

/// Which entry links which target, and how many link each target.
struct Links {
    width: usize,
    cells: Vec<bool>,
    entries: Vec<u32>,
}

impl Links {
    fn new(entries: usize, targets: usize) -> Self {
        Links {
            width: targets,
            cells: vec![false; entries * targets],
            entries: vec![0; targets],
        }
    }

    fn has(&self, entry: usize, target: usize) -> bool {
        let cell = self.cells.get(entry * self.width + target);
        cell.copied().unwrap_or(false)
    }

    fn add(&mut self, entry: usize, target: usize) {
        let cell = &mut self.cells[entry * self.width + target];
        self.entries[target] += u32::from(!*cell);
        *cell = true;
    }
}

/// The rendezvous weights between entries and targets.
struct Graph<'a> {
    entries: Vec<(u64, &'a str)>,
    targets: Vec<(u64, &'a str)>,
}

impl<'a> Graph<'a> {
    fn new(entries: &[ZonedNode<'a>], targets: &[ZonedNode<'a>]) -> Self {
        let hashed = |site: &ZonedNode<'a>| (hash_name(site.name), site.zone);
        Graph {
            entries: entries.iter().map(hashed).collect(),
            // Turned, so that an entry and a target of one name differ.
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

    /// All targets, those of the highest weight first.
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
        let (near, mut far): (Vec<usize>, Vec<usize>) =
            (0..self.targets.len()).partition(|target| self.targets[*target].1 == zone);
        let (mut picks, rest) = heaviest(near, count.div_ceil(2), weight);
        far.extend(rest);
        let (others, _) = heaviest(far, count - picks.len(), weight);
        picks.extend(others);
        picks
    }

    fn picks_of_target(&self, target: usize, count: usize) -> Vec<usize> {
        let entries = (0..self.entries.len()).collect();
        heaviest(entries, count, |entry| self.weight(*entry, target)).0
    }
}

/// The `count` of the highest weight, and the rest.
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
    let mut weighed: Vec<(u64, usize)> = items.drain(..).map(|i| (weight(&i), i)).collect();
    weighed.select_nth_unstable_by(count - 1, |a, b| b.cmp(a));
    let rest = weighed.split_off(count);
    let plain = |rows: Vec<(u64, usize)>| rows.into_iter().map(|(_, item)| item).collect();
    (plain(weighed), plain(rest))
}
