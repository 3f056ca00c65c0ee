//! Expert-map switches between the agents of one group.
//!
//! Each agent takes its own engine through the switches of its group
//! ([`expert::Participant`]). The live agent with the lowest name also
//! coordinates: it gathers what the engines count, plans, and drives the
//! switch ([`expert::Coordinator`]). That two agents may both believe to be
//! that one, as their member views differ for a while, is harmless: the
//! durable state takes decisions under the current fencing number alone.

mod chooser;
mod control_call;
mod control_calls;
mod engine_calls;
mod formations;
mod loads;
mod map_context;
mod maps;
mod members;
mod msg;
mod party;
mod peers;
mod planning;
mod settings;
mod stand_in;
mod state;
mod switcher;
mod translate;
mod waiting;
mod windows;

pub(crate) use map_context::{MapContext, Offers};
pub(crate) use maps::{Maps, start};
pub use settings::{MapSettings, StartMap};
