//! Targets that operators have taken out of service.

use member::Node;
use std::collections::BTreeSet;

/// Targets that get no new work because operators said so.
///
/// ```
/// let mut withdrawn = control::Withdrawn::default();
/// withdrawn.targets.insert("desk-01".to_owned());
/// assert!(withdrawn.zones.is_empty());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Withdrawn {
    /// Names of drained targets.
    pub targets: BTreeSet<String>,
    /// Availability zones that are evacuated.
    pub zones: BTreeSet<String>,
}

impl Withdrawn {
    /// Whether the target of a node is among them.
    pub(crate) fn contains_target_of(&self, node: &Node) -> bool {
        node.announcement.as_ref().is_some_and(|announcement| {
            self.targets.contains(&announcement.target) || self.zones.contains(&node.zone)
        })
    }
}
