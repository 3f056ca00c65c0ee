//! The `lovageramp-agent` daemon.

fn main() {}
