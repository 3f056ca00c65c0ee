//! `lovageramp`: the operator client, a complete system for evaluation, and the load
//! generator.

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure, Parser, construct};
use lovageramp::bench::{self, BenchOptions};
use lovageramp::client::{self, Command, Exit};
use lovageramp::fakes::{self, FakeOptions};
use lovageramp::standalone::{self, StandaloneOptions};

const EXAMPLES: &str = "\
Examples:
  lovageramp note check note.json
  lovageramp note send note.json --host 10.0.0.1:8080 --host 10.0.0.2:8080 --wait 20
  lovageramp target drain advisor-03
  LOVAGERAMP_HOST=10.0.0.1:8080 LOVAGERAMP_TOKEN=... lovageramp status --json
  lovageramp quarantine pardon 9f0c22 --host 10.0.0.1:8080
  lovageramp standalone --once
  lovageramp bench --host 10.0.0.1:8080 --key KEY --mix hotline --rate 50 --plot hotline.svg
  Exit codes: 0 done, 1 refused or findings, 2 usage error, 3 no host responded.";

const BENCH_EXAMPLES: &str = "\
Examples:
  lovageramp bench --host 10.0.0.1:8080 --key LARGE*4 --key SMALL --rate 100 --seconds 60
  lovageramp bench --host 127.0.0.1:8080 --key KEY --mix association --seen 127.0.0.1:9000 --json
  Exit codes: 0 all guarantees held, 1 a call was lost, doubled or wrong, 2 usage error.";

/// Width of the help text in columns.
const HELP_WIDTH: usize = 100;

/// The command given on the command line.
#[derive(Clone, Debug)]
enum Invocation {
    Client(Command),
    Standalone(StandaloneOptions),
    Fake(FakeOptions),
    Bench(BenchOptions),
}

fn options() -> OptionParser<Invocation> {
    let client = client::commands().map(Invocation::Client);
    let standalone = standalone::options()
        .to_options()
        .descr("Runs a complete system in one process on loopback, for evaluation")
        .command("standalone")
        .map(Invocation::Standalone);
    let fake = fakes::options()
        .to_options()
        .descr("Runs a fake target, for trials and tests")
        .command("fake")
        .map(Invocation::Fake);
    let bench = bench::options()
        .to_options()
        .descr("Sends a synthetic load to a running system and checks the results")
        .footer(BENCH_EXAMPLES)
        .command("bench")
        .map(Invocation::Bench);
    construct!([client, standalone, bench, fake])
        .to_options()
        .descr("Operates lovageramp, a load balancer for expert-parallel model groups")
        .footer(EXAMPLES)
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    let invocation = match options().run_inner(Args::current_args()) {
        Ok(invocation) => invocation,
        Err(failure) => return report_parse_failure(&failure),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(invocation)).into(),
        Err(err) => {
            eprintln!("cannot start the runtime: {err}");
            Exit::Unreachable.into()
        }
    }
}

async fn run(invocation: Invocation) -> Exit {
    let result = match invocation {
        Invocation::Client(command) => return client::run(command).await,
        Invocation::Standalone(options) => standalone::run(options).await,
        Invocation::Fake(options) => fakes::run(options).await,
        Invocation::Bench(options) => bench::run(options).await,
    };
    match result {
        Ok(()) => Exit::Done,
        Err(err) => {
            eprintln!("{err:#}");
            Exit::Refused
        }
    }
}

/// Prints the requested help or version, or the error in the command line.
fn report_parse_failure(failure: &ParseFailure) -> ExitCode {
    failure.print_message(HELP_WIDTH);
    match failure {
        ParseFailure::Stderr(_) => Exit::Usage.into(),
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done.into(),
    }
}
