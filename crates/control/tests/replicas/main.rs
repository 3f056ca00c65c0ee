//! Replicas in one process, with real sockets and data folders.

mod cluster;
mod path;
mod repair;
