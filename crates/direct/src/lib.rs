//! A reverse proxy that sends requests directly to targets, without an agent.
//!
//! A [`Proxy`] takes a [`ProxyRequest`], looks up its route in the current route
//! table, chooses a target and returns the target's response as a
//! [`TargetResponse`], or a [`Refusal`] that says whether the request ran. The
//! headers that a deployment uses in addition to standard HTTP are read and
//! written by its [`Dialect`].
//!
//! A non-repeatable request is sent once. It is sent again only if no byte of it
//! was written, or if the target reports that it did not run it.
//!
//! A request under which several targets have crashed is refused.

mod balancer;
mod balancer_outage;
mod balancer_queue;
mod balancer_retries;
mod crash_reports;
mod dialect;
mod dispatch;
mod dispatch_attempts;
mod dispatch_log;
mod dispatch_queue;
mod entry_place;
mod events;
mod exchange;
mod handover;
mod metrics;
mod outage;
mod outage_metrics;
mod outage_targets;
mod permit;
mod probe;
mod proxy;
mod proxy_request;
mod readiness;
mod refusal;
mod service_targets;
mod stream;
mod stream_hold;
mod successor;
mod target_response;
mod timing;
mod waiting;

pub use dialect::{Dialect, KeepAlive, MAX_URGENCY, RequestMetadata, ResponseInfo, Verdict};
pub use outlet::{Framing, rest_asked};
pub use proxy::{Proxy, ProxySettings, RetryTolerance};
pub use proxy_request::ProxyRequest;
pub use readiness::Readiness;
pub use refusal::{Reason, Refusal};
pub use target_response::TargetResponse;
pub use timing::Timing;
