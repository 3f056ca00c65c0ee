//! The client's commands.

use std::path::PathBuf;

use bpaf::{Bpaf, Parser};

use super::access::access;
use super::{Access, Format};

/// Commands
#[derive(Bpaf, Clone, Debug)]
pub enum Command {
    /// Check, send and show release notes
    #[bpaf(command("note"))]
    Note {
        /// What to do with notes.
        #[bpaf(external(note_command))]
        command: NoteCommand,
    },
    /// Show leader, replicas, notes, nodes, targets, quarantine
    #[bpaf(command("status"))]
    Status {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
    },
    /// Drain targets
    #[bpaf(command("target"))]
    Target {
        /// What to do with targets.
        #[bpaf(external(target_command))]
        command: TargetCommand,
    },
    /// List and pardon requests that crashed targets
    #[bpaf(command("quarantine"))]
    Quarantine {
        /// What to do with the quarantine.
        #[bpaf(external(quarantine_command))]
        command: QuarantineCommand,
    },
    /// List and forget calls whose outcome nobody knows
    #[bpaf(command("ledger"))]
    Ledger {
        /// What to do with the ledger.
        #[bpaf(external(ledger_command))]
        command: LedgerCommand,
    },
}

/// Commands about release notes
#[derive(Bpaf, Clone, Debug)]
pub enum NoteCommand {
    /// Check a note and print every finding
    ///
    /// Against what is in force when a host is named, else by itself.
    #[bpaf(command("check"))]
    Check {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
        /// File with the note
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a note and send it
    ///
    /// Sending it again gives the first answer.
    #[bpaf(command("send"))]
    Send {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
        /// Seconds to wait until the note is in force everywhere
        #[bpaf(argument("SECONDS"), optional)]
        wait: Option<u64>,
        /// File with the note
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show a note, or all that is on offer
    #[bpaf(command("show"))]
    Show {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
        /// Number of the note; without it all that is on offer
        #[bpaf(positional("NUMBER"), optional)]
        number: Option<u64>,
    },
    /// Show which note is accepted and whether it is in force everywhere
    #[bpaf(command("status"))]
    Status {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
    },
}

/// Commands about targets
#[derive(Bpaf, Clone, Debug)]
pub enum TargetCommand {
    /// Give a target no new work; what runs there finishes
    #[bpaf(command("drain"))]
    Drain {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
        /// Give it work again
        undo: bool,
        /// Name of the target
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Commands about the quarantine
#[derive(Bpaf, Clone, Debug)]
pub enum QuarantineCommand {
    /// List the fingerprints of suspect and convicted requests
    #[bpaf(command("list"))]
    List {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
    },
    /// Let a request run again
    #[bpaf(command("pardon"))]
    Pardon {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
        /// The request's fingerprint, as listed
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: String,
    },
}

/// Commands about non-repeatable calls whose outcome nobody knows
#[derive(Bpaf, Clone, Debug)]
pub enum LedgerCommand {
    /// List the calls that may have run, or may run yet, oldest first
    #[bpaf(command("list"))]
    List {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
    },
    /// Free the key of such a call, so that it runs when it is sent again
    ///
    /// Only after its service was asked whether the call ran, and neither the
    /// service nor the agent of that time can run it any more.
    #[bpaf(command("forget"))]
    Forget {
        /// How to print.
        #[bpaf(external(format))]
        format: Format,
        /// How to reach the system.
        #[bpaf(external(access))]
        access: Access,
        /// The attempt, as listed
        #[bpaf(positional("ATTEMPT"))]
        attempt: String,
    },
}

/// The parser of the client's commands.
#[must_use]
pub fn commands() -> impl Parser<Command> {
    command()
}

fn format() -> impl Parser<Format> {
    bpaf::long("json")
        .help("Print the whole answer as JSON")
        .flag(Format::Json, Format::Text)
}
