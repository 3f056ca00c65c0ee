//! Tests of complete deployments: the real binaries as separate processes on loopback.
//!
//! All are in one test binary, so that tests of different topics run in parallel. They
//! mostly wait; `support` limits the number of concurrent deployments.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

mod at_most_once;
mod bench;
mod claim_history;
mod cli;
mod durable;
mod durable_alarms;
mod durable_disk;
mod durable_history;
mod durable_lag;
mod durable_zones;
mod export;
mod late_orders;
mod leaving;
mod leaving_cut_off;
mod ledger;
mod logs;
mod maps;
mod moments;
mod not_run;
mod overload;
mod quarantine;
mod release_notes;
mod silent;
mod silent_callers;
mod standalone;
mod streams;
mod whole_path;
