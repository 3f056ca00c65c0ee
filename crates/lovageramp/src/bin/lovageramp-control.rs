//! The `lovageramp-control` daemon.

fn main() {}
