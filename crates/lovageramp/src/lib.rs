//! Load balancer for expert-parallel model groups: the daemons, the operators' client
//! and a whole system in one process.

pub mod bench;
pub mod client;
pub mod daemon;
pub mod fakes;
pub mod standalone;
