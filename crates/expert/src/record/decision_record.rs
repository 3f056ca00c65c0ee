//! Encoded form of a decision.

use crate::{Decision, Verdict};
use bytes::Bytes;

/// Encoded form of [`Decision`].
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct DecisionRecord {
    #[prost(uint64, tag = "1")]
    fencing: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(uint64, tag = "3")]
    barrier_step: u64,
    #[prost(bool, tag = "4")]
    commit: bool,
    #[prost(bytes = "bytes", tag = "5")]
    map: Bytes,
}

impl From<&Decision> for DecisionRecord {
    fn from(decision: &Decision) -> DecisionRecord {
        DecisionRecord {
            fencing: decision.fencing,
            version: decision.version,
            barrier_step: decision.barrier_step,
            commit: decision.verdict == Verdict::Commit,
            map: decision.map.clone(),
        }
    }
}

impl From<DecisionRecord> for Decision {
    fn from(record: DecisionRecord) -> Decision {
        Decision {
            fencing: record.fencing,
            version: record.version,
            barrier_step: record.barrier_step,
            verdict: if record.commit {
                Verdict::Commit
            } else {
                Verdict::Abort
            },
            map: record.map,
        }
    }
}
