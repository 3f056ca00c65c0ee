//! `lovageramp bench`: open-loop load generator for the request mixes of two users.
//!
//! Requests are sent at their planned times whether or not earlier ones have
//! completed, and latencies count from the planned time, so that a stalled system
//! does not slow down its own measurement (coordinated omission). The plan depends
//! only on the options and the seed.

mod account;
mod address_list;
mod call;
mod caller;
mod histogram;
mod http;
mod load;
mod mix;
mod options;
mod outcome;
mod plan;
mod plot;
mod progress;
mod report;
mod seen;
mod sse_parser;
mod stream_reader;
mod tally;
mod verdict;

pub use self::call::{Call, Resend};
pub use self::mix::Mix;
pub use self::options::{BenchOptions, options};
pub use self::plan::{Plan, PlannedRequest};
pub use self::sse_parser::SseParser;

use std::time::Duration;

use eyre::ensure;

use crate::standalone::{Deployment, DeploymentSize};

/// Deployment size of both users: 16 engines and 3 services.
const DEPLOYMENT_SIZE: DeploymentSize = DeploymentSize {
    engines: 16,
    services: 3,
    step_time: Duration::from_millis(20),
};

/// Runs the load and prints the report.
///
/// # Errors
///
/// Fails when no entry can be reached, and when a call was lost, ran more than
/// once, ran although its caller was told that it did not, or a response went to
/// the wrong caller.
pub async fn run(options: BenchOptions) -> eyre::Result<()> {
    if !options.host.is_empty() {
        ensure!(
            !options.key.is_empty(),
            "no client account given: use --key KEY"
        );
        return run_mixes(&options).await;
    }
    let deployment = Deployment::start(None, DEPLOYMENT_SIZE).await?;
    let result = run_mixes(&options.for_deployment(&deployment)).await;
    deployment.shutdown().await;
    result
}

async fn run_mixes(options: &BenchOptions) -> eyre::Result<()> {
    let mut reports = Vec::new();
    for mix in options.mixes() {
        reports.push(load::run(options, &mix).await?);
    }
    let text = if options.json {
        report::json(&reports)
    } else {
        report::table(&reports)
    };
    println!("{text}");
    if let Some(path) = &options.plot {
        plot::draw(path, &reports)?;
    }
    let violations: u64 = reports
        .iter()
        .map(|report| report.verdict.violations())
        .sum();
    ensure!(violations == 0, "{violations} violations of the guarantees");
    Ok(())
}
