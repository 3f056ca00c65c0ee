//! Commands that switch an engine's expert map.

use bytes::Bytes;
use expert::Arming;
use serde::Deserialize;

use super::Failure;

/// One step of a switch to another expert map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MapCommand {
    /// Begin to load a map without using it; `GET /map` shows when it is loaded.
    Stage {
        /// Version of the map.
        version: u64,
        /// The map, a JSON document.
        map: Bytes,
    },
    /// Don't run a step until the outcome is known.
    Hold {
        /// Version of the staged map.
        version: u64,
        /// The step.
        step: u64,
    },
    /// Adopt the committed maps and begin to run steps, if the engine waits for
    /// that in this formation.
    Join {
        /// Number of the formation.
        formation: u64,
        /// The maps, oldest first.
        maps: Vec<CommittedMap>,
    },
    /// Use the staged map from a step on.
    Commit {
        /// Version of the staged map.
        version: u64,
        /// The first step that uses it.
        step: u64,
    },
    /// Drop the staged map and continue with the present one.
    Abort {
        /// Version of the staged map.
        version: u64,
        /// The step that was held.
        step: u64,
    },
}

/// A committed map, used from a step on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommittedMap {
    /// Version of the map.
    pub version: u64,
    /// The first step that uses it.
    pub step: u64,
    /// The map, a JSON document.
    pub map: Bytes,
}

/// An engine's answer to a command that it accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct CommandReply {
    /// The last step that ran.
    pub step: u64,
    /// Whether the map is loaded, after `Stage`.
    pub ready: bool,
    /// Whether the engine will wait before the step, after `Hold`.
    pub held: bool,
    /// Whether the staged map was known, after `Commit` and `Abort`.
    pub known: bool,
}

/// State of an engine's expert maps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct MapState {
    /// The last step that ran.
    pub step: u64,
    /// Version in use.
    pub version: u64,
    /// Version that is being loaded.
    pub loading: Option<u64>,
    /// Version loaded and not in use.
    pub staged: Option<u64>,
    /// Version that will be in use from a later step on.
    pub next: Option<u64>,
    /// The step that waits for an outcome.
    pub held: Option<u64>,
    /// Whether the engine runs no step after a start until it receives `Join`.
    pub waits: bool,
    /// Whether it is waiting for `Join` now.
    pub waiting: bool,
    /// Number of the formation, the set of engines of the group that run steps
    /// together: 0 between two formations, `None` if the engine reports none.
    ///
    /// An engine may report a formation only once all engines in it have left
    /// the previous one.
    pub formation: Option<u64>,
    /// Ranks of the formation.
    pub ranks: Vec<u32>,
    /// The highest fencing number that the engine has seen.
    pub fencing: u64,
    /// Whether the engine is armed, if it takes separate commands to arm.
    #[serde(skip)]
    pub arming: Option<Arming>,
}

/// Why a command isn't known to have been applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandFailure {
    /// Its fencing number is lower than one seen before.
    Fenced {
        /// The highest number seen.
        highest: u64,
    },
    /// The engine refused it, with this reason.
    Refused(String),
    /// The call failed; unless it is [`Failure::NotRun`], the command may have
    /// been applied.
    Failed(Failure),
}
