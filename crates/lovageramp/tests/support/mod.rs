//! Starts the real binaries on loopback, with relays between them.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file is a crate of its own and uses a part of this"
)]

mod cluster;
mod faults;
mod http;
mod limit;
mod process;
mod relay;
mod stream;
mod until;

pub use cluster::{Cluster, ClusterPlan, TOKEN, account_item, bearer, chat, reserve};
pub use http::{Answer, get, open_stream, request};
pub use process::Process;
pub use relay::Relay;
pub use stream::{Caller, assert_whole, long_stream};
pub use until::until;
