//! Wire format of engines that take separate commands to arm and to hold.

/// Paths and encodings of an engine whose ranks take separate commands to arm
/// and to hold.
#[derive(Clone, Copy, Debug)]
pub struct ArmingDialect {
    /// Path of the rank's state.
    pub state_path: &'static str,
    /// Parses the state.
    pub state: fn(&[u8]) -> Option<ArmingState>,
    /// Path of the expert counts.
    pub counts_path: &'static str,
    /// Parses how often each expert was chosen since the engine started, layer
    /// by layer.
    pub counts: fn(&[u8]) -> Option<Vec<u64>>,
    /// Path of commands.
    pub command_path: &'static str,
    /// Encodes a command.
    pub command: fn(&ArmingCommand) -> Vec<u8>,
}

/// State of one rank.
#[derive(Clone, Debug, PartialEq)]
pub struct ArmingState {
    /// Name of the group.
    pub group: String,
    /// Number of the rank in the group.
    pub rank: u32,
    /// Number of ranks in the group.
    pub ranks: u32,
    /// Number of the current formation; `None` between two formations.
    pub formation: Option<u64>,
    /// The last step that has begun.
    pub step: u64,
    /// Version of the map in use.
    pub version: u64,
    /// Version that is loaded and not in use.
    pub prepared: Option<u64>,
    /// Version that will come into use, and the first step that uses it.
    pub armed: Option<(u64, u64)>,
    /// The step that the rank doesn't begin until it is released.
    pub held: Option<u64>,
    /// How many times longer than usual the rank takes for its work.
    pub slowdown: f64,
}

/// A command to one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArmingCommand {
    /// What the rank is to do.
    pub action: ArmingAction,
    /// Higher than that of any earlier command; the rank refuses lower numbers.
    pub fencing: u64,
    /// The formation in which the command holds; the rank refuses it in any
    /// other.
    pub formation: u64,
}

/// What a rank is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArmingAction {
    /// Load a map without using it.
    Prepare {
        /// Version of the map.
        version: u64,
        /// Experts by layer and rank.
        map: Vec<Vec<Vec<u16>>>,
    },
    /// Use a loaded map from a step on.
    Arm {
        /// Version of the map.
        version: u64,
        /// The step.
        step: u64,
    },
    /// Cancel the use of a map that was armed.
    Disarm {
        /// Version of the map.
        version: u64,
    },
    /// Don't begin a step until told to.
    Hold {
        /// The step.
        step: u64,
    },
    /// Begin a step that was held.
    Go {
        /// The step.
        step: u64,
    },
}
