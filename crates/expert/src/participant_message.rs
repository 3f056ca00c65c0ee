//! Messages from a participant to the coordinator.

/// Message from a participant to the coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParticipantMessage {
    /// The map is loaded.
    Staged {
        /// Version of the map.
        version: u64,
        /// The last step that the engine has run.
        step: u64,
    },
    /// The engine won't run the barrier step before the outcome is known.
    Held {
        /// Version of the staged map.
        version: u64,
    },
    /// The engine has received the outcome.
    Applied {
        /// Version of the map.
        version: u64,
    },
    /// The request can't be met, for instance because the barrier step has
    /// already run or the map isn't loaded.
    Refused {
        /// Version of the request.
        version: u64,
    },
    /// The participant has seen a higher fencing number than the coordinator's.
    Fenced {
        /// The highest fencing number seen.
        fencing: u64,
    },
}
