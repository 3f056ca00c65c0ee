//! `lovageramp`: the operators' client.

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure, Parser};
use lovageramp::client::{self, Command, Exit};

const EXAMPLES: &str = "\
Examples:
  lovageramp note check note.json
  lovageramp note send note.json --host 10.0.0.1:8080 --host 10.0.0.2:8080 --wait 20
  lovageramp target drain advisor-03
  LOVAGERAMP_HOST=10.0.0.1:8080 LOVAGERAMP_TOKEN=... lovageramp status --json
  lovageramp quarantine pardon 9f0c22 --host 10.0.0.1:8080
Exit codes: 0 done, 1 refused or findings, 2 wrong usage, 3 no host answered.";

/// Columns of the help text.
const HELP_WIDTH: usize = 100;

fn options() -> OptionParser<Command> {
    client::commands()
        .to_options()
        .descr("Operates lovageramp, a load balancer for expert-parallel model groups")
        .footer(EXAMPLES)
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    let command = match options().run_inner(Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return explain(&failure),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(client::run(command)).into(),
        Err(err) => {
            eprintln!("can't start: {err}");
            Exit::Unreachable.into()
        }
    }
}

/// Prints help where it was asked for, and what is wrong otherwise.
fn explain(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => Exit::Usage.into(),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done.into(),
    }
}
