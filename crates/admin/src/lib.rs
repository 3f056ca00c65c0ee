//! HTTP server, monitoring routes and operators' routes of the daemons.
//!
//! [`serve`] runs an HTTP/1 server with resource limits; [`MonitoringRoutes`] answers
//! `/healthz`, `/readyz` and `/metrics`; [`OperatorRoutes`] answers the operators'
//! routes. It accesses the durable state through two closures, so that entry and
//! control share one implementation. Errors are reported as a [`Problem`].
//!
//! ```
//! use std::sync::Arc;
//! use admin::{MonitoringRoutes, Registry};
//!
//! let registry = Arc::new(Registry::default());
//! let routes = MonitoringRoutes::new(registry, || Err("no lease yet".to_owned()));
//! let get = admin::Method::GET;
//! assert_eq!(routes.answer(&get, "/healthz").unwrap().status(), 200);
//! assert_eq!(routes.answer(&get, "/readyz").unwrap().status(), 503);
//! assert!(routes.answer(&get, "/v1/addresses").is_none());
//! ```

mod body;
mod caller;
mod caller_metrics;
mod connection_limits;
mod hex;
mod hop;
mod linger;
mod log_lines;
mod memory;
mod monitoring_routes;
mod operator_routes;
mod operator_token;
mod outcomes;
mod peer_addr;
mod problem;
mod ran;
mod request_body;
mod served_body;
mod server;
mod server_settings;
mod timed_stream;
mod until_close;

pub use body::{Body, Response, empty, full, json};
pub use connection_limits::ConnectionLimits;
pub use hop::{HOP_BY_HOP_HEADERS, connection_options, end_to_end_headers};
pub use hyper::Method;
pub use log_lines::LinesLeftOut;
pub use memory::available_memory;
pub use monitoring_routes::MonitoringRoutes;
pub use operator_routes::{OperatorRoutes, ProposeFn, QueryFn};
pub use operator_token::OperatorToken;
pub use peer_addr::PeerAddr;
pub use problem::Problem;
pub use prometheus_client::registry::Registry;
pub use ran::Ran;
pub use request_body::RequestBody;
pub use server::{serve, serve_when_free, serve_with_limits};
pub use server_settings::{HalfClose, ServerSettings};
pub use until_close::until_close;
