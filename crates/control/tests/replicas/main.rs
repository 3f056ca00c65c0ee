//! Tests of replicas in one process, with real sockets and data folders.

mod cluster;
mod disks;
mod http;
mod leaders;
mod leases;
mod nonsense;
mod operators;
mod path;
mod repair;
mod tables;
