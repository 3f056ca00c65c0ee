//! Encoded form of one group's standing.

use crate::record::DecisionRecord;
use crate::{Decision, Standing};

/// Encoded form of [`Standing`] with the name of its group.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct StandingRecord {
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

impl StandingRecord {
    pub(crate) fn new(group: &str, standing: &Standing) -> StandingRecord {
        StandingRecord {
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

    pub(crate) fn into_standing(self) -> Standing {
        Standing {
            fencing: self.fencing,
            agent: self.agent,
            incarnation: self.incarnation,
            current: self.current.map(Decision::from),
            committed: self.committed.into_iter().map(Decision::from).collect(),
        }
    }
}
