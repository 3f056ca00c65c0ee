//! Requests straight to targets, without an agent.
//!
//! A [`Director`] takes a [`ProxyRequest`], finds its route in the table in force,
//! chooses a target, and gives back an [`Answer`]: the target's own, or a
//! [`Refusal`] that says whether the request ran. How a target is spoken to
//! beside plain HTTP is its deployment's [`Dialect`].
//!
//! A request that may not be repeated is sent once. It is sent again only if
//! nothing of it was written, or its target says that it did not run it.

mod answer;
mod dialect;
mod director;
mod dispatch;
mod dispatch_attempts;
mod dispatch_log;
mod doors;
mod events;
mod exchange;
mod metrics;
mod permit;
mod placer;
mod proxy_request;
mod refusal;
mod service_targets;
mod stream;
mod timing;

pub use answer::Answer;
pub use dialect::{Dialect, Keeps, Reading, Told, Verdict};
pub use director::{Director, DirectorSettings};
pub use doors::Doors;
pub use proxy_request::ProxyRequest;
pub use refusal::{Reason, Refusal};
pub use timing::Timing;
