//! The encoded forms of this crate's types.

mod decision_record;
mod decisions_record;
mod group_state_record;
mod map_record;

pub(crate) use decision_record::DecisionRecord;
pub(crate) use decisions_record::DecisionsRecord;
pub(crate) use group_state_record::GroupStateRecord;
pub(crate) use map_record::MapRecord;
