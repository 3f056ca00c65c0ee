//! HTTP connections to a target: opened, watched for silence, kept.
//!
//! A [`Connection`] says of each request that got no answer whether it was
//! written: only one of which nothing was written surely never ran. A
//! [`Pool`] keeps connections between two calls and gives out none on which
//! the target has said or ended something meanwhile. Agents and entries call
//! their targets through it.
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
mod pool;
mod pool_counts;
mod socket;

pub use client::{ClientSettings, Connection, SendError, fetch};
pub use failure::Failure;
pub use pool::Pool;
pub use pool_counts::PoolCounts;
