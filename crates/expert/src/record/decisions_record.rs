//! Encoded form of all decisions.

use crate::record::GroupStateRecord;

/// Encoded form of [`Decisions`](crate::Decisions).
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub(crate) struct DecisionsRecord {
    #[prost(uint32, tag = "1")]
    pub(crate) format: u32,
    #[prost(message, repeated, tag = "2")]
    pub(crate) groups: Vec<GroupStateRecord>,
}
