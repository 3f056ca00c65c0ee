//! Starts the real binaries on loopback, with relays between them.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test file is a crate of its own and uses a part of this"
)]

mod calls;
mod cluster;
mod faults;
mod http;
mod limit;
mod map_group;
mod process;
mod relay;
mod until;

pub use calls::{account_item, bearer, chat, reserve};
pub use cluster::{Cluster, ClusterPlan, TOKEN};
pub use http::{Answer, get, open_stream, request};
pub use map_group::{AGENTS, EXPERT_BYTES, MapGroup, TRIES};
pub use process::Process;
pub use relay::Relay;
pub use until::until;
