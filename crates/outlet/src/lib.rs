//! HTTP connections to a target, with time-outs and a pool for reuse.
//!
//! For each request without a response, a [`Connection`] reports whether it was
//! written, since only an unwritten request is certain not to have run. A [`Pool`]
//! keeps idle connections for later calls. Before a connection is reused,
//! [`Connection::is_idle`] tells whether the target has closed it or sent anything
//! on it. Agents and entries call their targets through this crate.
//!
//! ```
//! use outlet::Pool;
//! use std::time::{Duration, Instant};
//!
//! let pool = Pool::new(4, Duration::from_secs(2));
//! assert!(pool.take(Instant::now()).is_none());
//! assert_eq!(pool.counts().kept.get(), 0);
//! ```

mod client;
mod failure;
mod framing;
mod interim;
mod pool;
mod pool_counts;
mod rest;
mod socket;

pub use client::{ClientSettings, Connection, MAX_STREAM_BYTES, SendError, fetch};
pub use failure::Failure;
pub use framing::{Completeness, ContentEnd, Framing};
pub use pool::Pool;
pub use pool_counts::PoolCounts;
pub use rest::rest_asked;
