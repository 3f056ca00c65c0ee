//! Determines from an engine's state whether a command with a lost answer took
//! effect.

use expert::Arming;

use crate::engine::{CommandReply, MapCommand, MapState};

/// What an engine's state shows about a command whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadBack {
    /// It was applied; the engine would have answered this.
    Applied(CommandReply),
    /// It was not applied and may be sent again.
    NotApplied,
    /// The state shows neither: the staged map that the command names is gone.
    Inconclusive,
}

/// Determines from an engine's state whether a command with a lost answer was
/// applied.
///
/// ```
/// use agent::engine::{MapCommand, MapState};
/// use agent::command::{ReadBack, read_back};
///
/// let command = MapCommand::Commit { version: 7, step: 90 };
/// let staged = MapState { staged: Some(7), ..MapState::default() };
/// assert_eq!(read_back(&command, &staged), ReadBack::NotApplied);
/// let used = MapState { version: 7, ..MapState::default() };
/// assert!(matches!(read_back(&command, &used), ReadBack::Applied(_)));
/// ```
#[must_use]
pub fn read_back(command: &MapCommand, state: &MapState) -> ReadBack {
    let applied = ReadBack::Applied(CommandReply {
        step: state.step,
        ready: matches!(command, MapCommand::Stage { .. }),
        held: matches!(command, MapCommand::Hold { .. }),
        known: matches!(
            command,
            MapCommand::Commit { .. } | MapCommand::Abort { .. }
        ),
    });
    let staged = |version: &u64| state.staged == Some(*version);
    let loading = |version: &u64| state.loading == Some(*version);
    let used = |version: &u64| state.version == *version || state.next == Some(*version);
    if state.arming.is_some() {
        return if arming_matches(command, state) {
            applied
        } else {
            ReadBack::NotApplied
        };
    }
    match command {
        MapCommand::Join { .. } if state.waiting => ReadBack::NotApplied,
        MapCommand::Join { .. } => applied,
        MapCommand::Stage { version, .. } if staged(version) || loading(version) => applied,
        MapCommand::Stage { .. } => ReadBack::NotApplied,
        MapCommand::Hold { version, step } if staged(version) && state.held == Some(*step) => {
            applied
        }
        MapCommand::Hold { version, .. } if staged(version) => ReadBack::NotApplied,
        MapCommand::Commit { version, .. } if used(version) => applied,
        MapCommand::Commit { version, .. } | MapCommand::Abort { version, .. }
            if staged(version) =>
        {
            ReadBack::NotApplied
        }
        MapCommand::Abort { version, .. } if loading(version) => ReadBack::NotApplied,
        MapCommand::Abort { version, .. } if !used(version) => applied,
        MapCommand::Hold { .. } | MapCommand::Commit { .. } | MapCommand::Abort { .. } => {
            ReadBack::Inconclusive
        }
    }
}

/// Whether the state of an engine with separate arming commands already matches
/// the command.
fn arming_matches(command: &MapCommand, state: &MapState) -> bool {
    let armed = state.arming == Some(Arming::Armed);
    match command {
        MapCommand::Join { .. } => true,
        MapCommand::Stage { version, .. } => {
            state.staged == Some(*version) || state.loading == Some(*version)
        }
        MapCommand::Hold { step, .. } => armed && state.held == Some(*step),
        MapCommand::Commit { version, .. } => {
            state.version == *version || state.next == Some(*version)
        }
        // The state doesn't show whether an earlier command may still arrive.
        MapCommand::Abort { .. } => false,
    }
}
