//! The agents that take part in switches.

use std::collections::BTreeSet;

use crate::map::formations::Formation;
use crate::map::members::Members;

/// Stands for the formation of a group whose ranks aren't all known. No engine is
/// ever in it, so no engine agrees to hold.
const NO_FORMATION: u64 = u64::MAX;

/// The agents that take part in switches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Participants {
    pub agents: BTreeSet<String>,
    pub formation: u64,
    /// Placement of the ranks; `None` unless the agent of each rank in the
    /// formation is known.
    pub ranks: Option<RankPlacement>,
}

/// Placement of the ranks of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct RankPlacement {
    /// Host number of each rank, which is the index of its agent; 0 for a lost
    /// rank.
    pub hosts: Vec<u16>,
    /// Whether each rank is in the formation.
    pub live: Vec<bool>,
}

impl Participants {
    /// The agents whose engines are in `formation`.
    ///
    /// While one of them is missing or the formation is unknown, no switch begins,
    /// because an engine may keep running while its agent is unreachable. All
    /// members then take part, so that ranks held by an earlier switch can still be
    /// released.
    pub fn new(members: &Members, formation: Option<&Formation>, ranks: u32) -> Self {
        let known = formation.and_then(|formation| {
            let placement = RankPlacement::new(members, formation, ranks)?;
            Some((formation, placement))
        });
        let Some((formation, ranks)) = known else {
            return Participants {
                agents: members.names(),
                formation: NO_FORMATION,
                ranks: None,
            };
        };
        let agents = formation.ranks.iter();
        Participants {
            agents: agents.filter_map(|rank| members.agent(*rank)).collect(),
            formation: formation.number,
            ranks: Some(ranks),
        }
    }
}

impl RankPlacement {
    fn new(members: &Members, formation: &Formation, ranks: u32) -> Option<Self> {
        let mut placement = RankPlacement::default();
        for rank in 0..ranks {
            let steps = formation.ranks.contains(&rank);
            let host = members.host(rank);
            placement.hosts.push(if steps { host? } else { 0 });
            placement.live.push(steps);
        }
        placement.live.contains(&true).then_some(placement)
    }
}
