//! `lovageramp standalone`: a complete system in one process, for evaluation.

mod call;
mod deployment;
mod smoke_test;

use crate::daemon::shutdown_signal;
use bpaf::{Bpaf, Parser};
use std::path::PathBuf;

pub use self::deployment::{Deployment, DeploymentSize};

/// Key of the client account that `lovageramp standalone` creates.
pub const DEMO_KEY: &str = "demo-key-of-standalone";
/// Operator token of `lovageramp standalone`.
pub const DEMO_TOKEN: &str = "demo-token-of-standalone";

/// Options of `lovageramp standalone`.
#[derive(Bpaf, Clone, Debug)]
pub struct StandaloneOptions {
    /// Send one streamed model request and one reservation, resend the reservation,
    /// print the responses and the number of calls that ran, and exit
    pub once: bool,
    /// Folder for the durable state; a temporary folder if not given
    #[bpaf(argument("FOLDER"))]
    pub data: Option<PathBuf>,
}

/// Parser of the options of `lovageramp standalone`.
#[must_use]
pub fn options() -> impl Parser<StandaloneOptions> {
    standalone_options()
}

/// Runs until SIGTERM or SIGINT; with `--once`, runs one smoke test and returns.
///
/// # Errors
///
/// Fails when the system can't be started, and with `--once` when a response or the
/// number of calls that ran is wrong.
pub async fn run(options: StandaloneOptions) -> eyre::Result<()> {
    let deployment = Deployment::start(options.data, DeploymentSize::default()).await?;
    if options.once {
        smoke_test::run(&deployment).await?;
    } else {
        print_addresses(&deployment);
        shutdown_signal().await?;
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
        smoke_test::CHAT_BODY
    );
    println!("A reservation, which runs at most once for its key:");
    println!(
        "  curl http://{entry}{} -H 'Authorization: Bearer {DEMO_KEY}' \
         -H 'Idempotency-Key: lot-17' -d '{}'",
        smoke_test::RESERVATIONS_PATH,
        smoke_test::RESERVATION_BODY
    );
    println!();
    println!("Ctrl-C ends it.");
}
