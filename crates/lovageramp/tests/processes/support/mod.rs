//! Runs the daemons as processes on loopback, with relays between them.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary compiles this module separately and uses a part of it"
)]

pub mod callers;
mod calls;
mod cluster;
pub mod disks;
mod faults;
mod http;
mod limit;
mod map_group;
pub mod notes;
mod other_build;
mod process;
mod stream;
mod until;
pub mod zones;

pub use calls::{account_item, bearer, chat, chat_in_parts, reserve};
pub use cluster::{Cluster, ClusterPlan, TOKEN};
pub use fake::Relay;
pub use http::{Answer, get, open_stream, request};
pub use map_group::{AGENTS, EXPERT_BYTES, MAX_ATTEMPTS, MapGroup};
pub use process::Process;
pub use stream::{Caller, assert_complete, long_stream, read_at_least, read_to_end};
pub use until::until;
