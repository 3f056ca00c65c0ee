//! The agents that take part in switches.

use std::collections::BTreeSet;

use crate::map::formations::Formation;
use crate::map::members::Members;

/// Counts as the formation of a group whose ranks aren't all known: no engine
/// is ever in it, so no engine promises anything.
const NO_FORMATION: u64 = u64::MAX;

/// The agents that take part in switches.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Party {
    pub agents: BTreeSet<String>,
    pub formation: u64,
    /// The ranks that step, if the agent of each of them is known.
    pub ranks: Option<PartyRanks>,
}

/// The ranks of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PartyRanks {
    /// Number of each rank's agent; 0 for a lost rank.
    pub hosts: Vec<u16>,
    /// Whether each rank steps.
    pub live: Vec<bool>,
}

impl Party {
    /// Those whose engines step in `formation`.
    ///
    /// While one of them is missing, or nothing is known of the formation, no
    /// switch begins: an engine whose agent can't be reached may run on all
    /// the same. But whoever hangs in a former switch can be released, so all
    /// members take part.
    pub fn new(members: &Members, formation: Option<&Formation>, ranks: u32) -> Self {
        let known = formation.and_then(|formation| {
            let party = PartyRanks::new(members, formation, ranks)?;
            Some((formation, party))
        });
        let Some((formation, ranks)) = known else {
            return Party {
                agents: members.names(),
                formation: NO_FORMATION,
                ranks: None,
            };
        };
        let agents = formation.ranks.iter();
        Party {
            agents: agents.filter_map(|rank| members.agent(*rank)).collect(),
            formation: formation.number,
            ranks: Some(ranks),
        }
    }
}

impl PartyRanks {
    fn new(members: &Members, formation: &Formation, ranks: u32) -> Option<Self> {
        let mut party = PartyRanks::default();
        for rank in 0..ranks {
            let steps = formation.ranks.contains(&rank);
            let host = members.host(rank);
            party.hosts.push(if steps { host? } else { 0 });
            party.live.push(steps);
        }
        party.live.contains(&true).then_some(party)
    }
}
