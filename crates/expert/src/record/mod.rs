//! The encoded forms of this crate's types.

mod decision_record;
mod decisions_record;
mod map_record;
mod standing_record;

pub(crate) use decision_record::DecisionRecord;
pub(crate) use decisions_record::DecisionsRecord;
pub(crate) use map_record::MapRecord;
pub(crate) use standing_record::StandingRecord;
