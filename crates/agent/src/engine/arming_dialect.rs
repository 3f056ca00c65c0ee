//! What is said to an engine that is armed and held by orders of its own.

/// How an engine whose ranks are armed and held by orders of their own is
/// spoken to.
#[derive(Clone, Copy, Debug)]
pub struct ArmingDialect {
    /// Path of its state.
    pub state_path: &'static str,
    /// Reads its state.
    pub state: fn(&[u8]) -> Option<ArmingState>,
    /// Path of its counts.
    pub counts_path: &'static str,
    /// Reads how often each expert was chosen, layer by layer, since its start.
    pub counts: fn(&[u8]) -> Option<Vec<u64>>,
    /// Path of orders.
    pub command_path: &'static str,
    /// Writes an order.
    pub command: fn(&ArmingCommand) -> Vec<u8>,
}

/// Where one rank stands with its maps.
#[derive(Clone, Debug, PartialEq)]
pub struct ArmingState {
    /// Name of its group.
    pub group: String,
    /// Its number in the group.
    pub rank: u32,
    /// Ranks of the group.
    pub ranks: u32,
    /// Number of the formation in which it steps; `None` between two.
    pub formation: Option<u64>,
    /// The last step that was begun.
    pub step: u64,
    /// Version in use.
    pub version: u64,
    /// Version that is loaded.
    pub prepared: Option<u64>,
    /// Version that comes into use, and the first step that uses it.
    pub armed: Option<(u64, u64)>,
    /// The step that isn't begun.
    pub held: Option<u64>,
    /// How many times longer than usual it takes for its work.
    pub slowdown: f64,
}

/// An order to one rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArmingCommand {
    /// What it is to do.
    pub action: ArmingAction,
    /// Higher than that of any order sent before; the rank refuses lower ones.
    pub fencing: u64,
    /// The rank refuses it in any other formation.
    pub formation: u64,
}

/// What a rank is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ArmingAction {
    /// Load a map, by layer and rank the experts.
    Prepare {
        /// Its version.
        version: u64,
        /// The experts.
        map: Vec<Vec<Vec<u16>>>,
    },
    /// Use a loaded map from a step on.
    Arm {
        /// Its version.
        version: u64,
        /// The step.
        step: u64,
    },
    /// Don't use it after all.
    Disarm {
        /// Its version.
        version: u64,
    },
    /// Don't begin a step.
    Hold {
        /// The step.
        step: u64,
    },
    /// Begin it after all.
    Go {
        /// The step.
        step: u64,
    },
}
