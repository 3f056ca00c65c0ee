//! A small cluster in one process: one control replica, agents with fake targets, and
//! entries.

mod caller;
mod cluster;
mod serving;
mod stub;

pub use caller::{AnswerMode, Caller, Reply, chat};
pub use cluster::{Cluster, KEY, eventually, sha256_hex};
pub use serving::serving_cluster;
pub use stub::{
    Script, StubAgent, accept, announcement, answer, chunk, events, finish, head, refuse,
    send_reply,
};
