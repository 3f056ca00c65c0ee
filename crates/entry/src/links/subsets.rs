//! Selection of the agents to which this entry keeps links.

use std::collections::BTreeMap;
use std::sync::Arc;

use note::{Assignment, Catalogue};
use route::{Reachability, Subset, SubsetSettings, ZonedNode};
use wire::proto::MemberView;

use super::AnnouncedTarget;
use crate::placement::pool_of;
use crate::pool_name::PoolName;

/// The subsets of targets of this entry, one for each class of targets.
pub(super) struct Subsets {
    settings: SubsetSettings,
    name: String,
    zone: String,
    /// The view and release note from which the classes were computed.
    source: Option<(Arc<MemberView>, Arc<Catalogue>)>,
    settled: bool,
    classes: Vec<TargetClass>,
}

struct TargetClass {
    targets: Vec<String>,
    subset: Subset,
}

/// Properties of a class of interchangeable targets. A request may need a version or an
/// adapter that only some targets of its pool have. With one subset for the whole pool,
/// it might contain none of them, so each profile has a subset of its own.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Profile<'a> {
    pool: Result<PoolName, &'a Assignment>,
    adapters: &'a [String],
    versions: &'a [String],
    can_resume: bool,
}

impl Subsets {
    pub(super) fn new(settings: SubsetSettings, name: &str, zone: &str) -> Self {
        Subsets {
            settings,
            name: name.to_owned(),
            zone: zone.to_owned(),
            source: None,
            settled: false,
            classes: Vec::new(),
        }
    }

    /// Recomputes the classes if the view or the release note has changed.
    pub(super) fn update(
        &mut self,
        view: &Arc<MemberView>,
        catalogue: &Arc<Catalogue>,
        announced_targets: &[AnnouncedTarget],
    ) {
        let is_unchanged = self.source.as_ref().is_some_and(|(of_view, of_note)| {
            Arc::ptr_eq(of_view, view) && Arc::ptr_eq(of_note, catalogue)
        });
        if is_unchanged {
            return;
        }
        self.source = Some((Arc::clone(view), Arc::clone(catalogue)));
        self.settled |= view.settled;
        let entries = self.entries(view);
        let own_index = entries.iter().position(|entry| entry.name == self.name);
        let own_index = own_index.unwrap_or(entries.len());
        let mut classes: BTreeMap<Profile<'_>, Vec<&AnnouncedTarget>> = BTreeMap::new();
        for announced in announced_targets
            .iter()
            .filter(|announced| !announced.leaving)
        {
            classes
                .entry(profile(catalogue, announced))
                .or_default()
                .push(announced);
        }
        let settings = self.effective_settings();
        let classes = classes.into_values().map(|targets| {
            let zoned = targets.iter().map(|announced| ZonedNode {
                name: &announced.target,
                zone: &announced.zone,
            });
            let zoned: Vec<ZonedNode<'_>> = zoned.collect();
            TargetClass {
                subset: Subset::of(settings, own_index, &entries, &zoned),
                targets: targets
                    .iter()
                    .map(|announced| announced.target.clone())
                    .collect(),
            }
        });
        self.classes = classes.collect();
    }

    /// Returns the targets to link, and for each the number of entries that link it.
    pub(super) fn linked(
        &self,
        reachability: impl Fn(&str) -> Reachability,
    ) -> BTreeMap<String, u32> {
        let mut linked = BTreeMap::new();
        for class in &self.classes {
            let name = |target: usize| class.targets[target].as_str();
            let chosen = class
                .subset
                .with_reserve(self.settings.targets, |target| reachability(name(target)));
            let chosen = chosen.iter();
            linked.extend(chosen.map(|linked| (name(linked.target).to_owned(), linked.entries)));
        }
        linked
    }

    /// Entries that serve callers, including this one. This entry may be missing from
    /// the view when it starts, or leaving and still serving callers that have cached
    /// its address.
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

    /// When all nodes start together, the first views lack most entries. If the few
    /// that are visible divided all targets among them, each of hundreds of entries
    /// would connect to each target within the first second. Until the view has been
    /// complete once, each entry links only its own selection.
    fn effective_settings(&self) -> SubsetSettings {
        let entries = if self.settled {
            self.settings.entries
        } else {
            0
        };
        SubsetSettings {
            entries,
            ..self.settings
        }
    }
}

fn profile<'a>(catalogue: &Catalogue, announced: &'a AnnouncedTarget) -> Profile<'a> {
    Profile {
        pool: pool_of(catalogue, announced).ok_or(&announced.offer),
        adapters: &announced.adapters,
        versions: &announced.versions,
        can_resume: announced.can_resume,
    }
}
