//! Requests straight to targets, without an agent.
//!
//! A [`Proxy`] takes a [`ProxyRequest`], finds its route in the table in force,
//! chooses a target, and gives back an [`TargetResponse`]: the target's own, or a
//! [`Refusal`] that says whether the request ran. How a target is spoken to
//! beside plain HTTP is its deployment's [`Dialect`].
//!
//! A request that may not be repeated is sent once. It is sent again only if
//! nothing of it was written, or its target says that it did not run it.

mod dialect;
mod dispatch;
mod dispatch_attempts;
mod dispatch_log;
mod events;
mod exchange;
mod metrics;
mod permit;
mod placer;
mod proxy;
mod proxy_request;
mod readiness;
mod refusal;
mod service_targets;
mod stream;
mod target_response;
mod timing;

pub use dialect::{Dialect, KeepAlive, RequestMetadata, ResponseInfo, Verdict};
pub use proxy::{Proxy, ProxySettings};
pub use proxy_request::ProxyRequest;
pub use readiness::Readiness;
pub use refusal::{Reason, Refusal};
pub use target_response::TargetResponse;
pub use timing::Timing;
