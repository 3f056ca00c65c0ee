//! `lovageramp`: the operators' client, a whole system for a first try, the load.

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
  Exit codes: 0 done, 1 refused or findings, 2 wrong usage, 3 no host answered.";

const BENCH_EXAMPLES: &str = "\
Examples:
  lovageramp bench --host 10.0.0.1:8080 --key LARGE*4 --key SMALL --rate 100 --seconds 60
  lovageramp bench --host 127.0.0.1:8080 --key KEY --mix association --seen 127.0.0.1:9000 --json
  Exit codes: 0 all calls came out right, 1 a call was lost, doubled or wrong, 2 wrong usage.";

/// Columns of the help text.
const HELP_WIDTH: usize = 100;

/// What the command line asks for.
#[derive(Clone, Debug)]
enum Task {
    Client(Command),
    Standalone(StandaloneOptions),
    Fake(FakeOptions),
    Bench(BenchOptions),
}

fn options() -> OptionParser<Task> {
    let client = client::commands().map(Task::Client);
    let standalone = standalone::options()
        .to_options()
        .descr("Runs the whole system in one process on loopback, for a first try")
        .command("standalone")
        .map(Task::Standalone);
    let fake = fakes::options()
        .to_options()
        .descr("Runs a small stand-in for a target, for trials and tests")
        .command("fake")
        .map(Task::Fake);
    let bench = bench::options()
        .to_options()
        .descr("Plays both users' mixes against a running system")
        .footer(BENCH_EXAMPLES)
        .command("bench")
        .map(Task::Bench);
    construct!([client, standalone, bench, fake])
        .to_options()
        .descr("Operates lovageramp, a load balancer for expert-parallel model groups")
        .footer(EXAMPLES)
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    let task = match options().run_inner(Args::current_args()) {
        Ok(task) => task,
        Err(failure) => return explain(&failure),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(task)).into(),
        Err(err) => {
            eprintln!("can't start: {err}");
            Exit::Unreachable.into()
        }
    }
}

async fn run(task: Task) -> Exit {
    let ended = match task {
        Task::Client(command) => return client::run(command).await,
        Task::Standalone(options) => standalone::run(options).await,
        Task::Fake(options) => fakes::run(options).await,
        Task::Bench(options) => bench::run(options).await,
    };
    match ended {
        Ok(()) => Exit::Done,
        Err(err) => {
            eprintln!("{err:#}");
            Exit::Refused
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
