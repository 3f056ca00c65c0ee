//! Expert-map switches between the agents of one group.
//!
//! Each agent switches its own engine ([`expert::Participant`]). The live agent
//! with the lowest name also coordinates the group: it collects the counts of the
//! engines, plans, and drives the switch ([`expert::Coordinator`]). While member
//! views differ, two agents may both coordinate; this is harmless, because the
//! durable state accepts decisions only under the current fencing number.

mod control_call;
mod control_calls;
mod engine_calls;
mod formations;
mod forwarding;
mod gathers;
mod loads;
mod map_actor;
mod map_context;
mod map_handle;
mod map_metrics;
mod map_planner;
mod members;
mod msg;
mod participants;
mod peers;
mod planning;
mod rank_releaser;
mod settings;
mod state;
mod translate;
mod waiting;
mod window_counter;

pub(crate) use map_context::{GroupSource, MapContext};
pub(crate) use map_handle::{MapHandle, start};
pub(crate) use map_metrics::MapMetrics;
pub use settings::{InitialMap, MapSettings};
