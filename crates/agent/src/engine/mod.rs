//! The HTTP protocol between the agent and its target.
//!
//! Paths, headers and field names of engines and plain services appear only in
//! this module; the rest of the agent uses types such as [`Call`], [`Reply`],
//! [`Load`] and [`Profile`].

mod arming_client;
mod arming_dialect;
mod cache;
mod call;
mod completion_check;
mod expert_counts;
mod load;
mod map_command;
mod map_document;
mod profile;
mod reply;
mod target_client;

pub use ::outlet::{ClientSettings, Failure, PoolCounts};
pub(crate) use arming_client::{ArmingClient, DecidedSwitches};
pub use arming_dialect::{ArmingAction, ArmingCommand, ArmingDialect, ArmingState};
pub use cache::CacheChange;
pub use call::{Call, Retry};
pub use completion_check::CompletionCheck;
pub use expert_counts::{ExpertCounts, RankCounts};
pub use load::{Load, RankLoad};
pub use map_command::{CommandFailure, CommandReply, CommittedMap, MapCommand, MapState};
pub use map_document::map_document;
pub use profile::Profile;
pub use reply::{Reply, Usage};
pub use target_client::{TargetClient, TargetKind};
