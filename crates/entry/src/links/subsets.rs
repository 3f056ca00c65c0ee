//! Which agents this entry keeps links to.

use std::collections::BTreeMap;
use std::sync::Arc;

use note::{Assignment, Catalogue};
use route::{Reachability, Subset, SubsetSettings, ZonedNode};
use wire::proto::MemberView;

use super::Announced;
use crate::placement::pool_of;
use crate::pool_name::PoolName;

/// The subsets of this entry, one for each class of targets.
pub(super) struct Subsets {
    cfg: SubsetSettings,
    name: String,
    zone: String,
    /// What the classes were worked out from.
    from: Option<(Arc<MemberView>, Arc<Catalogue>)>,
    settled: bool,
    classes: Vec<Class>,
}

struct Class {
    targets: Vec<String>,
    subset: Subset,
}

/// Targets that can stand in for each other. A request may need a version or an
/// adapter that only some targets of its pool have, so each profile is a class of
/// its own; among the picks of a whole pool there might be none that fits.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Profile<'a> {
    pool: Result<PoolName, &'a Assignment>,
    adapters: &'a [String],
    versions: &'a [String],
    can_resume: bool,
}

impl Subsets {
    pub(super) fn new(cfg: SubsetSettings, name: &str, zone: &str) -> Self {
        Subsets {
            cfg,
            name: name.to_owned(),
            zone: zone.to_owned(),
            from: None,
            settled: false,
            classes: Vec::new(),
        }
    }

    /// Works the classes out anew if the view or the note is another one.
    pub(super) fn update(
        &mut self,
        view: &Arc<MemberView>,
        catalogue: &Arc<Catalogue>,
        announced: &[Announced],
    ) {
        let same = self.from.as_ref().is_some_and(|(of_view, of_note)| {
            Arc::ptr_eq(of_view, view) && Arc::ptr_eq(of_note, catalogue)
        });
        if same {
            return;
        }
        self.from = Some((Arc::clone(view), Arc::clone(catalogue)));
        self.settled |= view.settled;
        let entries = self.entries(view);
        let me = entries.iter().position(|entry| entry.name == self.name);
        let me = me.unwrap_or(entries.len());
        let mut classes: BTreeMap<Profile<'_>, Vec<&Announced>> = BTreeMap::new();
        for row in announced.iter().filter(|row| !row.leaving) {
            classes
                .entry(profile(catalogue, row))
                .or_default()
                .push(row);
        }
        let cfg = self.cfg();
        let classes = classes.into_values().map(|rows| {
            let sites = rows.iter().map(|row| ZonedNode {
                name: &row.target,
                zone: &row.zone,
            });
            let sites: Vec<ZonedNode<'_>> = sites.collect();
            Class {
                subset: Subset::of(cfg, me, &entries, &sites),
                targets: rows.iter().map(|row| row.target.clone()).collect(),
            }
        });
        self.classes = classes.collect();
    }

    /// The targets to link now, and how many entries link each of them.
    pub(super) fn linked(&self, reach: impl Fn(&str) -> Reachability) -> BTreeMap<String, u32> {
        let mut linked = BTreeMap::new();
        for class in &self.classes {
            let name = |target: usize| class.targets[target].as_str();
            let chosen = class
                .subset
                .with_reserve(self.cfg.targets, |target| reach(name(target)));
            let chosen = chosen.iter();
            linked.extend(chosen.map(|row| (name(row.target).to_owned(), row.entries)));
        }
        linked
    }

    /// Entries that serve callers, this one included: it may not be in the view
    /// yet, or may be leaving and still serve those who hold its address.
    fn entries<'a>(&'a self, view: &'a MemberView) -> Vec<ZonedNode<'a>> {
        let nodes = view.nodes.iter();
        let others = nodes.filter(|node| {
            node.role() == wire::Role::Entry && !node.leaving && node.name != self.name
        });
        let mut entries: Vec<ZonedNode<'_>> = others
            .map(|node| ZonedNode {
                name: &node.name,
                zone: &node.zone,
            })
            .collect();
        entries.push(ZonedNode {
            name: &self.name,
            zone: &self.zone,
        });
        entries
    }

    /// At a common start the first views lack most entries. If those few took all
    /// targets between them, each of hundreds of entries would dial each target
    /// within the first second. Their own picks do until one view was whole.
    fn cfg(&self) -> SubsetSettings {
        let entries = if self.settled { self.cfg.entries } else { 0 };
        SubsetSettings {
            entries,
            ..self.cfg
        }
    }
}

fn profile<'a>(catalogue: &Catalogue, row: &'a Announced) -> Profile<'a> {
    Profile {
        pool: pool_of(catalogue, row).ok_or(&row.offer),
        adapters: &row.adapters,
        versions: &row.versions,
        can_resume: row.can_resume,
    }
}
