//! What the agent and its target say to each other.
//!
//! Nothing beyond this module knows a path, a header or a field name of an
//! engine or a plain service: the rest of the agent sees [`Call`], [`Reply`],
//! [`Load`], [`Profile`] and their kin.

mod arming;
mod arming_dialect;
mod cache;
mod call;
mod expert_counts;
mod load;
mod map_document;
mod order;
mod outlet;
mod profile;
mod reply;
mod whole;

pub use ::outlet::{ClientSettings, Failure, PoolCounts};
pub(crate) use arming::{ArmingEngine, Release};
pub use arming_dialect::{ArmingAction, ArmingCommand, ArmingDialect, ArmingState};
pub use cache::CacheChange;
pub use call::{Call, Repeats};
pub use expert_counts::{ExpertCounts, RankCounts};
pub use load::{Load, RankLoad};
pub use map_document::map_document;
pub use order::{InForce, MapOrder, MapState, Obeyed, OrderFailure};
pub use outlet::{Outlet, Stand};
pub use profile::Profile;
pub use reply::{Reply, Usage};
pub use whole::Whole;
