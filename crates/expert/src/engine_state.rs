//! What an engine tells of its maps.

/// What an engine tells of its maps.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EngineState {
    /// The last step that ran.
    pub step: u64,
    /// Version of the map in use; 0 for the one that it was started with.
    pub version: u64,
    /// Version that is being loaded.
    pub loading: Option<u64>,
    /// Version that is loaded and not decided.
    pub staged: Option<u64>,
    /// Version that comes into use at a later step.
    pub next: Option<u64>,
    /// The step that does not run until the outcome is known.
    pub held_step: Option<u64>,
    /// Whether it runs no step after a start until it has joined.
    pub requires_join: bool,
    /// Whether it waits now.
    pub awaiting_join: bool,
    /// Number of the formation in which it steps with the other engines of
    /// its group; `None` between two, always 0 if the engine tells none.
    pub formation: Option<u64>,
    /// Set by an engine that is told apart which map comes into use and when
    /// it stops; none by one that is told both at once.
    pub arming: Option<Arming>,
}

/// Whether an engine that is armed apart from being held is armed.
///
/// Such an engine keeps what it has loaded until something newer comes, and
/// begins each formation on its start map, with nothing loaded, armed or held.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Arming {
    /// A map comes into use with the step that is held, or a later one.
    Armed,
    /// None does.
    Unarmed,
}

impl EngineState {
    /// Whether the engine has promised to stop before the step and to use the
    /// version from it on if it is told so.
    pub(crate) fn promises(&self, version: u64, barrier_step: u64) -> bool {
        self.staged == Some(version)
            && self.held_step == Some(barrier_step)
            && self.arming != Some(Arming::Unarmed)
    }

    /// Whether nothing of the version can come into use.
    pub(crate) fn has_dropped(&self, version: u64) -> bool {
        let is_there = [self.staged, self.loading].contains(&Some(version));
        match self.arming {
            Some(arming) => arming == Arming::Unarmed && self.held_step.is_none(),
            None => !is_there && self.held_step.is_none(),
        }
    }
}
