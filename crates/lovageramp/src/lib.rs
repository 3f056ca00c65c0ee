//! Load balancer for expert-parallel model groups: the daemons and the client.

pub mod bench;
pub mod client;
