//! The `lovageramp-entry` daemon.

fn main() {}
