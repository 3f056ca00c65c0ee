//! Encoded form of the durable state of one group.

use crate::record::DecisionRecord;
use crate::{Decision, GroupState};

/// Encoded form of a [`GroupState`] and the name of its group.
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
    pub(crate) fn new(group: &str, state: &GroupState) -> GroupStateRecord {
        GroupStateRecord {
            group: group.to_owned(),
            fencing: state.fencing,
            agent: state.agent.clone(),
            incarnation: state.incarnation,
            current: state.current.as_ref().map(DecisionRecord::from),
            committed: state.committed.iter().map(DecisionRecord::from).collect(),
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
