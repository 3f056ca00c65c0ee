//! Route tables, which map hosts and paths to services.
//!
//! A [`Table`] holds everything that an operator offers to callers: routes,
//! services, client accounts with their keys, and request limits. Each table
//! has a number; of two tables the one with the higher number is in force.
//! [`Table::new`] validates a [`Draft`] and reports all findings at once.
//!
//! ```
//! use std::time::Duration;
//! use table::{Access, CallerLimits, Draft, RequestKind, Route, Service, Table, WeightedService};
//!
//! let draft = Draft {
//!     number: 7,
//!     routes: vec![Route {
//!         name: "stock".into(),
//!         host: "desk.example".into(),
//!         prefix: "/stock/".into(),
//!         split: vec![WeightedService { service: "order-desk".into(), weight: 1 }],
//!         kind: RequestKind::Repeatable,
//!         timeout: Duration::from_secs(2),
//!         objective: Duration::from_millis(150),
//!         priority: 2,
//!         attempts: 2,
//!         access: Access::Anyone,
//!     }],
//!     services: vec![Service::new("order-desk", 96)],
//!     accounts: Vec::new(),
//!     limits: CallerLimits::default(),
//! };
//! let table = Table::new(draft).unwrap();
//! assert_eq!(table.route("desk.example", "/stock/burl").unwrap().name, "stock");
//! assert!(table.route("desk.example", "/orders/").is_none());
//! ```

mod caller_limits;
mod check;
mod client_account;
mod draft;
mod engine;
mod request_kind;
mod route;
mod service;
mod table;

pub use caller_limits::CallerLimits;
pub use client_account::ClientAccount;
pub use draft::Draft;
pub use engine::{Engine, Experts};
pub use request_kind::{Access, RequestKind, Resume};
pub use route::{Route, WeightedService};
pub use service::{ColdStart, Service};
pub use table::Table;
