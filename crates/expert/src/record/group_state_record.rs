//! Encoded form of one group's standing.

use crate::record::DecisionRecord;
use crate::{Decision, GroupState};

/// Encoded form of [`GroupState`] with the name of its group.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct GroupStateRecord {
    #[prost(string, tag = "1")]
    pub(crate) group: String,
    #[prost(uint64, tag = "2")]
    fencing: u64,
    #[prost(string, tag = "3")]
    agent: String,
    #[prost(uint64, tag = "4")]
    incarnation: u64,
    #[prost(message, optional, tag = "5")]
    current: Option<DecisionRecord>,
    #[prost(message, repeated, tag = "6")]
    committed: Vec<DecisionRecord>,
}

impl GroupStateRecord {
    pub(crate) fn new(group: &str, standing: &GroupState) -> GroupStateRecord {
        GroupStateRecord {
            group: group.to_owned(),
            fencing: standing.fencing,
            agent: standing.agent.clone(),
            incarnation: standing.incarnation,
            current: standing.current.as_ref().map(DecisionRecord::from),
            committed: standing
                .committed
                .iter()
                .map(DecisionRecord::from)
                .collect(),
        }
    }

    pub(crate) fn into_group_state(self) -> GroupState {
        GroupState {
            fencing: self.fencing,
            agent: self.agent,
            incarnation: self.incarnation,
            current: self.current.map(Decision::from),
            committed: self.committed.into_iter().map(Decision::from).collect(),
        }
    }
}
