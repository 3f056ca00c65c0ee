//! Expert maps: load estimation, planning and the switch protocol.
//!
//! The ranks of a model group run their steps in lock-step on an expert map,
//! which assigns copies of experts to ranks. This crate decides when another
//! map is worth switching to and coordinates the switch across the ranks of a
//! group. It performs no I/O, reads no clock and uses no randomness: the
//! current time and all messages are passed in as arguments.
//!
//! [`Decisions`] is the part of the durable state that records which map is in
//! force from which step:
//!
//! ```
//! use expert::{Decision, Decisions, Verdict};
//!
//! let mut decisions = Decisions::new();
//! let state = decisions.open_coordinator("blank-advisor", "advisor-01", 7);
//! let outcome = decisions.decide(
//!     "blank-advisor",
//!     Decision {
//!         fencing: state.fencing,
//!         version: 1,
//!         barrier_step: 400,
//!         verdict: Verdict::Commit,
//!         map: bytes::Bytes::from_static(b"map"),
//!     },
//! );
//! assert!(outcome.is_accepted());
//! ```

mod balance;
mod coordinator;
mod coordinator_message;
mod coordinator_output;
mod decide_outcome;
mod decision;
mod decisions;
mod engine_command;
mod engine_state;
mod error;
mod expert_id;
mod goal;
mod group_state;
mod imbalance;
mod load;
mod load_estimator;
mod load_estimator_settings;
mod map;
mod map_fault;
mod move_cost;
mod participant;
mod participant_group_state;
mod participant_message;
mod participant_output;
mod participant_steps;
mod plan;
mod planner;
mod popularity_change;
mod rank;
mod record;
mod refusal;
mod relay_tree;
mod search;
mod shape;
mod speeds;
mod step_timer;
mod switch_criteria;
mod switch_timing;
mod token_threshold;
mod verdict;
mod weights;

pub use crate::coordinator::Coordinator;
pub use crate::coordinator_message::CoordinatorMessage;
pub use crate::coordinator_output::CoordinatorOutput;
pub use crate::decide_outcome::DecideOutcome;
pub use crate::decision::Decision;
pub use crate::decisions::Decisions;
pub use crate::engine_command::EngineCommand;
pub use crate::engine_state::{Arming, EngineState};
pub use crate::error::{Error, Result};
pub use crate::expert_id::ExpertId;
pub use crate::group_state::GroupState;
pub use crate::load::Load;
pub use crate::load_estimator::LoadEstimator;
pub use crate::load_estimator_settings::LoadEstimatorSettings;
pub use crate::map::Map;
pub use crate::map_fault::MapFault;
pub use crate::move_cost::MoveCost;
pub use crate::participant::Participant;
pub use crate::participant_message::ParticipantMessage;
pub use crate::participant_output::ParticipantOutput;
pub use crate::plan::Plan;
pub use crate::planner::Planner;
pub use crate::rank::Rank;
pub use crate::refusal::Refusal;
pub use crate::relay_tree::{Delivery, MAX_DIRECT_AGENTS, RelayTree};
pub use crate::shape::Shape;
pub use crate::speeds::Speeds;
pub use crate::step_timer::StepTimer;
pub use crate::switch_criteria::SwitchCriteria;
pub use crate::switch_timing::SwitchTiming;
pub use crate::token_threshold::TokenThreshold;
pub use crate::verdict::Verdict;
pub use crate::weights::Weights;
