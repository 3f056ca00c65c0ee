//! `lovageramp standalone`: the whole system in one process, for a first try.

mod call;
mod deployment;
mod trial;

use crate::daemon::asked_to_end;
use bpaf::{Bpaf, Parser};
use std::path::PathBuf;

pub use self::deployment::{Deployment, DeploymentSize};

/// Key of the client account that standalone makes.
pub const DEMO_KEY: &str = "demo-key-of-standalone";
/// Operators' token of standalone.
pub const DEMO_TOKEN: &str = "demo-token-of-standalone";

/// Options of `lovageramp standalone`.
#[derive(Bpaf, Clone, Debug)]
pub struct StandaloneOptions {
    /// Send one streamed model request and one reservation, resend the reservation,
    /// print what came back and what ran, and exit
    pub once: bool,
    /// Folder for the durable state; a temporary one without
    #[bpaf(argument("FOLDER"))]
    pub data: Option<PathBuf>,
}

/// The parser of `lovageramp standalone`.
#[must_use]
pub fn options() -> impl Parser<StandaloneOptions> {
    standalone_options()
}

/// Runs until Ctrl-C, or through one trial with `--once`.
///
/// # Errors
///
/// Fails when the system can't be started, and with `--once` when an answer or what
/// ran at the targets differs from what it should be.
pub async fn run(options: StandaloneOptions) -> eyre::Result<()> {
    let deployment = Deployment::start(options.data, DeploymentSize::default()).await?;
    if options.once {
        trial::run(&deployment).await?;
    } else {
        print_addresses(&deployment);
        asked_to_end().await?;
    }
    deployment.shutdown().await;
    Ok(())
}

fn print_addresses(deployment: &Deployment) {
    let entry = deployment.entry_address();
    println!("callers and operators: http://{entry}");
    println!("key of the demo account: {DEMO_KEY}");
    println!("operators' token: {DEMO_TOKEN}");
    println!();
    println!("A streamed model request:");
    println!(
        "  curl -N http://{entry}/v1/chat/completions -H 'Authorization: Bearer {DEMO_KEY}' \
         -H 'Content-Type: application/json' -d '{}'",
        trial::CHAT
    );
    println!("A reservation, which runs at most once for its key:");
    println!(
        "  curl http://{entry}{} -H 'Authorization: Bearer {DEMO_KEY}' \
         -H 'Idempotency-Key: lot-17' -d '{}'",
        trial::RESERVATIONS,
        trial::LOT
    );
    println!();
    println!("Ctrl-C ends it.");
}
