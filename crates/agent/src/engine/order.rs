//! Orders that switch an engine's expert map.

use bytes::Bytes;
use expert::Arming;
use serde::Deserialize;

use super::Failure;

/// One step of a switch to another expert map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MapOrder {
    /// Begin to load a map without using it; `GET /map` tells when it is done.
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
    /// Take over the maps in force and begin to run steps, if the engine waits
    /// for that in this formation.
    Join {
        /// Number of the formation.
        formation: u64,
        /// The maps, oldest first.
        maps: Vec<InForce>,
    },
    /// Use the staged map from a step on.
    Commit {
        /// Version of the staged map.
        version: u64,
        /// The first step that uses it.
        step: u64,
    },
    /// Drop the staged map and go on with the former one.
    Abort {
        /// Version of the staged map.
        version: u64,
        /// The step that was held.
        step: u64,
    },
}

/// A map that is in force from a step on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Version of the map.
    pub version: u64,
    /// The first step that uses it.
    pub step: u64,
    /// The map, a JSON document.
    pub map: Bytes,
}

/// What an engine answers to an order that it took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Obeyed {
    /// The last step that ran.
    pub step: u64,
    /// Whether the map is loaded, after `Stage`.
    pub ready: bool,
    /// Whether the step will wait, after `Hold`.
    pub held: bool,
    /// Whether the staged map was known, after `Commit` and `Abort`.
    pub known: bool,
}

/// Where an engine stands with its maps.
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
    /// Whether the engine runs no step after a start until it has joined.
    pub waits: bool,
    /// Whether it waits for that now.
    pub waiting: bool,
    /// Number of the formation in which it steps with the other engines of
    /// its group: 0 between two, `None` if the engine tells none.
    ///
    /// An engine may tell of a formation only once all engines in it have
    /// left the former one.
    pub formation: Option<u64>,
    /// Ranks of that formation.
    pub ranks: Vec<u32>,
    /// The highest fencing number that the engine has seen.
    pub fencing: u64,
    /// Whether an engine that is armed by an order of its own is armed.
    #[serde(skip)]
    pub arming: Option<Arming>,
}

/// Why an order isn't known to be obeyed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// Its fencing number is lower than one seen before.
    Fenced {
        /// The highest number seen.
        highest: u64,
    },
    /// The engine refused it for another reason.
    Refused(String),
    /// The call failed; unless as not run, the order may have been obeyed.
    Failed(Failure),
}
