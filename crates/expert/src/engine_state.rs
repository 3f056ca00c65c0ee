//! Map state reported by an engine.

/// Map state reported by an engine.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// The last step that the engine has run.
    pub step: u64,
    /// Version of the map in use; 0 for the initial map.
    pub version: u64,
    /// Version that is being loaded.
    pub loading: Option<u64>,
    /// Version that is loaded and awaits its outcome.
    pub staged: Option<u64>,
    /// Committed version that comes into use at a later step.
    pub next: Option<u64>,
    /// The step that won't run before the outcome is known.
    pub held_step: Option<u64>,
    /// Whether the engine runs no step after a start until it has joined.
    pub requires_join: bool,
    /// Whether the engine is currently waiting to join.
    pub awaiting_join: bool,
    /// Number of the formation in which the engine runs steps with the other
    /// engines of its group. `None` between two formations; always 0 if the
    /// engine doesn't report formations.
    pub formation: Option<u64>,
    /// Whether the engine is armed. `Some` if the engine receives the map to be
    /// used and the step to stop at separately; `None` if it receives both in
    /// one command.
    pub arming: Option<Arming>,
}

/// Whether an engine with separate commands for arming and holding is armed.
///
/// Such an engine keeps a loaded map until a newer one is loaded. It starts
/// each formation on its initial map, with no map loaded or armed and no step
/// held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arming {
    /// A map comes into use at the held step or a later one.
    Armed,
    /// No map is scheduled to come into use.
    Unarmed,
}

impl EngineState {
    /// Whether the engine has promised to stop before `barrier_step` and to use
    /// `version` from that step on if it is committed.
    pub(crate) fn has_promised(&self, version: u64, barrier_step: u64) -> bool {
        self.staged == Some(version)
            && self.held_step == Some(barrier_step)
            && self.arming != Some(Arming::Unarmed)
    }

    /// Whether `version` can no longer come into use.
    pub(crate) fn has_dropped(&self, version: u64) -> bool {
        let is_present = [self.staged, self.loading].contains(&Some(version));
        match self.arming {
            Some(arming) => arming == Arming::Unarmed && self.held_step.is_none(),
            None => !is_present && self.held_step.is_none(),
        }
    }
}
