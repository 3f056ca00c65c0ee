//! The operator client: release notes, status, draining, evacuation, quarantine, ledger.
//!
//! Hosts may be entries or controls; if one does not respond, the next one is
//! tried. All commands are idempotent, so retries are safe.

mod access;
mod command;
mod evacuation;
mod exit;
mod failure;
mod format;
mod host_response;
mod http;
mod ledger;
mod note;
mod quarantine;
mod status;
mod table;
mod target;

pub use self::access::Access;
pub use self::command::{
    Command, EvacuationCommand, LedgerCommand, NoteCommand, QuarantineCommand, TargetCommand,
    commands,
};
pub use self::exit::Exit;
pub use self::failure::Failure;
pub use self::format::Format;

use std::io::Write;

/// Runs a command and prints its result.
pub async fn run(command: Command) -> Exit {
    let (format, result) = match command {
        Command::Note { command } => note::run(command).await,
        Command::Status { format, access } => (format, status::run(&access, format).await),
        Command::Target { command } => target::run(command).await,
        Command::Evacuation { command } => evacuation::run(command).await,
        Command::Quarantine { command } => quarantine::run(command).await,
        Command::Ledger { command } => ledger::run(command).await,
    };
    match result {
        Ok(text) => {
            print(&text);
            Exit::Done
        }
        Err(failure) => {
            match format {
                Format::Json => print(&failure.to_json().to_string()),
                Format::Text => eprintln!("{failure}"),
            }
            failure.exit()
        }
    }
}

/// Prints to standard output. Write errors are ignored: a closed pipe, as with
/// `head`, is not a failure.
fn print(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{text}");
}
