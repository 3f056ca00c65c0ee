//! What a participant answers to the coordinator.

/// What a participant answers to the coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParticipantMessage {
    /// The map is loaded.
    Staged {
        /// Version of the map.
        version: u64,
        /// The last step that ran.
        step: u64,
    },
    /// The engine will not pass the barrier without the outcome.
    Held {
        /// Version of the staged map.
        version: u64,
    },
    /// The outcome has reached the engine.
    Applied {
        /// Version of the map.
        version: u64,
    },
    /// The request can't be met: the barrier is passed or the map not loaded.
    Refused {
        /// Version that was asked for.
        version: u64,
    },
    /// A coordinator with a higher fencing number is known.
    Fenced {
        /// The highest number seen.
        fencing: u64,
    },
}
