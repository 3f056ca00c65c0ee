//! `lovageramp bench`: open-loop load that plays both users' mixes.
//!
//! Requests are sent at their planned times whether or not earlier ones were
//! answered, and times count from the planned time: a system that stalls can't
//! slow its own measurement down. The plan follows from the seed alone.

mod account;
mod call;
mod caller;
mod directory;
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
mod stream;
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

/// Both users' size: 16 engines and 3 services.
const SIZE: DeploymentSize = DeploymentSize {
    engines: 16,
    services: 3,
    step_time: Duration::from_millis(20),
};

/// Runs the load and prints what came of it.
///
/// # Errors
///
/// Fails when no entry can be reached, and when a call was lost, ran more than
/// once, ran though its caller was told that it didn't, or an answer went to
/// the wrong caller.
pub async fn run(options: BenchOptions) -> eyre::Result<()> {
    if !options.host.is_empty() {
        ensure!(!options.key.is_empty(), "give a client account: --key KEY");
        return play(&options).await;
    }
    let deployment = Deployment::start(None, SIZE).await?;
    let played = play(&options.for_deployment(&deployment)).await;
    deployment.shutdown().await;
    played
}

async fn play(options: &BenchOptions) -> eyre::Result<()> {
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
    let wrong: u64 = reports.iter().map(|report| report.verdict.wrong()).sum();
    ensure!(wrong == 0, "{wrong} calls came out wrong");
    Ok(())
}
