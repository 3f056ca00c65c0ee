//! Commands of the client.

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
        /// Action on notes.
        #[bpaf(external(note_command))]
        command: NoteCommand,
    },
    /// Show leader, replicas, notes, nodes, targets, quarantine
    #[bpaf(command("status"))]
    Status {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
    },
    /// Drain targets
    #[bpaf(command("target"))]
    Target {
        /// Action on targets.
        #[bpaf(external(target_command))]
        command: TargetCommand,
    },
    /// Take an availability zone out of service and back
    #[bpaf(command("evacuation"))]
    Evacuation {
        /// Action on evacuations.
        #[bpaf(external(evacuation_command))]
        command: EvacuationCommand,
    },
    /// List and pardon requests that crashed targets
    #[bpaf(command("quarantine"))]
    Quarantine {
        /// Action on the quarantine.
        #[bpaf(external(quarantine_command))]
        command: QuarantineCommand,
    },
    /// List and forget calls whose outcome is unknown
    #[bpaf(command("ledger"))]
    Ledger {
        /// Action on the ledger.
        #[bpaf(external(ledger_command))]
        command: LedgerCommand,
    },
}

/// Commands about release notes
#[derive(Bpaf, Clone, Debug)]
pub enum NoteCommand {
    /// Check a note and print every finding
    ///
    /// With --host, the note is checked against the catalogue in force, otherwise
    /// on its own.
    #[bpaf(command("check"))]
    Check {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
        /// File with the note
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Check a note and send it
    ///
    /// Sending it again returns the first response.
    #[bpaf(command("send"))]
    Send {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
        /// Seconds to wait until the note is in force everywhere
        #[bpaf(argument("SECONDS"), optional)]
        wait: Option<u64>,
        /// File with the note
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show a note, or the whole catalogue
    #[bpaf(command("show"))]
    Show {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
        /// Number of the note; without it the whole catalogue
        #[bpaf(positional("NUMBER"), optional)]
        number: Option<u64>,
    },
    /// Show which note is accepted and whether it is in force everywhere
    #[bpaf(command("status"))]
    Status {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
    },
}

/// Commands about targets
#[derive(Bpaf, Clone, Debug)]
pub enum TargetCommand {
    /// Stop sending new requests to a target; running ones finish
    #[bpaf(command("drain"))]
    Drain {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
        /// Send requests to the target again
        undo: bool,
        /// Name of the target
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Commands about the evacuation of availability zones
#[derive(Bpaf, Clone, Debug)]
pub enum EvacuationCommand {
    /// Stop sending new requests to the targets of a zone; running ones finish
    #[bpaf(command("start"))]
    Start {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
        /// Availability zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// Send requests to the targets of a zone again
    #[bpaf(command("finish"))]
    Finish {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
        /// Availability zone
        #[bpaf(positional("ZONE"))]
        zone: String,
    },
    /// List the zones that are evacuated
    #[bpaf(command("list"))]
    List {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
    },
}

/// Commands about the quarantine
#[derive(Bpaf, Clone, Debug)]
pub enum QuarantineCommand {
    /// List the fingerprints of suspect and convicted requests
    #[bpaf(command("list"))]
    List {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
    },
    /// Let a request run again
    #[bpaf(command("pardon"))]
    Pardon {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
        /// Fingerprint of the request, as listed
        #[bpaf(positional("FINGERPRINT"))]
        fingerprint: String,
    },
}

/// Commands about non-repeatable calls whose outcome is unknown
#[derive(Bpaf, Clone, Debug)]
pub enum LedgerCommand {
    /// List the calls that may have run or may still run, oldest first
    #[bpaf(command("list"))]
    List {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
    },
    /// Release the idempotency key of such a call, so that it runs when sent again
    ///
    /// Use this only after checking with the service whether the call ran, and
    /// when neither the service nor the agent of that time can still run it.
    #[bpaf(command("forget"))]
    Forget {
        /// Output format.
        #[bpaf(external(format))]
        format: Format,
        /// Connection options.
        #[bpaf(external(access))]
        access: Access,
        /// Attempt ID, as listed
        #[bpaf(positional("ATTEMPT"))]
        attempt: String,
    },
}

/// Parser of the client commands.
#[must_use]
pub fn commands() -> impl Parser<Command> {
    command()
}

fn format() -> impl Parser<Format> {
    bpaf::long("json")
        .help("Print the whole response as JSON")
        .flag(Format::Json, Format::Text)
}
