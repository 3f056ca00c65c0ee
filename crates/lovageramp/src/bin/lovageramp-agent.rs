//! The `lovageramp-agent` daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    lovageramp::daemon::run_agent()
}
