//! A small cluster in one process: one control replica, real agents before
//! fake targets, and entries.

mod caller;
mod cluster;
mod serving;
mod stub;

pub use caller::{Caller, Form, Reply, chat};
pub use cluster::{Cluster, KEY, eventually, sha256_hex};
pub use serving::serving;
pub use stub::{
    Script, StubAgent, accept, announcement, answer, chunk, events, finish, head, refuse, say,
};
