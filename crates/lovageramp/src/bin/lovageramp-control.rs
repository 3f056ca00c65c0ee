//! The `lovageramp-control` daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    lovageramp::daemon::run_control()
}
