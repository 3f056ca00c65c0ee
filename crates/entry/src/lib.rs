//! HTTP for callers, admission, target selection, retries and streams.
//!
//! An [`Entry`] accepts the requests of callers, selects a target for each and has
//! the agent of the target run it. It returns the complete answer, or an error that
//! says whether the request has run. It holds no durable state; that is kept by the
//! control replicas and accessed through [`node::Follower`].
//!
//! Settings are parsed from JSON by [`Settings::from_slice`]. [`Entry::start`] then
//! serves callers until [`Entry::shutdown`].

mod entry;
mod http;
mod job;
mod limits;
mod links;
mod listeners;
mod metrics;
mod placement;
mod pool_name;
mod settings;
mod timing;
mod work;

pub use crate::entry::Entry;
pub use crate::limits::Limits;
pub use crate::listeners::Listeners;
pub use crate::settings::Settings;
pub use crate::timing::Timing;
