//! Health, readiness, metrics and operators HTTP for every daemon.
//!
//! [`serve`] runs a bounded HTTP/1 server over a handler; [`Pages`] answers
//! `/healthz`, `/readyz` and `/metrics`; [`Operators`] answers the operators'
//! routes over two closures, so that entry and control mount the same one.
//! Whatever goes wrong is told as a [`Problem`].
//!
//! ```
//! use std::sync::Arc;
//! use admin::{Pages, Registry};
//!
//! let pages = Pages::new(Arc::new(Registry::default()), || Err("no lease yet".to_owned()));
//! let get = admin::Method::GET;
//! assert_eq!(pages.answer(&get, "/healthz").unwrap().status(), 200);
//! assert_eq!(pages.answer(&get, "/readyz").unwrap().status(), 503);
//! assert!(pages.answer(&get, "/v1/addresses").is_none());
//! ```

mod body;
mod hex;
mod hop;
mod linger;
mod log_lines;
mod operators;
mod outcomes;
mod pages;
mod peer;
mod problem;
mod ran;
mod server;
mod server_settings;
mod token;

pub use body::{Body, Response, empty, full, json, read_body};
pub use hop::{HOP_HEADERS, end_to_end, named_by_connection};
pub use hyper::Method;
pub use log_lines::LinesLeftOut;
pub use operators::{Operators, Propose, Query};
pub use pages::Pages;
pub use peer::Peer;
pub use problem::Problem;
pub use prometheus_client::registry::Registry;
pub use ran::Ran;
pub use server::serve;
pub use server_settings::{HalfClose, ServerSettings};
pub use token::Token;
