//! The `lovageramp-entry` daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    lovageramp::daemon::run_entry()
}
