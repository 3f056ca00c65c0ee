//! Load balancer for expert-parallel model groups: the daemons, the operator
//! client, a load generator and a complete system in one process.

pub mod bench;
pub mod client;
pub mod daemon;
pub mod fakes;
pub mod standalone;
