//! Callers HTTP, admission, choice of target, retries and streams.
//!
//! An [`Entry`] takes the requests of callers, chooses a target for each, has
//! the target's agent run it, and gives the answer back whole or says what is
//! known of it. It holds nothing that must survive: what must is asked of the
//! control replicas through [`node::Follower`].
//!
//! Settings come from JSON, see [`Settings::from_slice`]; then [`Entry::start`]
//! serves until [`Entry::shutdown`].

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
