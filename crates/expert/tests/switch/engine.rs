//! Simulated engine.

use bytes::Bytes;
use expert::{Decision, EngineCommand, EngineState, Verdict};

/// What an engine does with a command under an outdated fencing number.
#[derive(Clone, Copy, PartialEq)]
pub enum FencingPolicy {
    Ignore,
    Refuse,
}

/// A simulated engine, which may or may not check fencing numbers.
pub struct Engine {
    pub state: EngineState,
    pub fencing_policy: FencingPolicy,
    fencing: u64,
    staged: Bytes,
    next: Option<(u64, Bytes)>,
    /// The encoded map in use.
    pub map: Bytes,
    /// Whether the engine runs and answers.
    pub alive: bool,
}

impl Engine {
    /// An engine that has just started while the others are at `step`.
    pub fn start(fencing_policy: FencingPolicy, step: u64) -> Engine {
        Engine {
            state: EngineState {
                step,
                requires_join: true,
                awaiting_join: true,
                ..EngineState::default()
            },
            fencing_policy,
            fencing: 0,
            staged: Bytes::new(),
            next: None,
            map: Bytes::new(),
            alive: true,
        }
    }

    /// Executes a command. Returns the state after it, or `None` if it was refused.
    pub fn execute(&mut self, command: &EngineCommand) -> Option<EngineState> {
        let fencing = fencing(command).unwrap_or(self.fencing);
        if self.fencing_policy == FencingPolicy::Refuse && fencing < self.fencing {
            return None;
        }
        self.fencing = self.fencing.max(fencing);
        match command {
            EngineCommand::Read => {}
            EngineCommand::Stage { version, map, .. } => {
                self.state.staged = Some(*version);
                self.staged = map.clone();
            }
            EngineCommand::Hold {
                version,
                barrier_step,
                ..
            } => {
                if self.state.staged == Some(*version) && self.state.step < *barrier_step {
                    self.state.held_step = Some(*barrier_step);
                }
            }
            EngineCommand::Join {
                formation, maps, ..
            } => {
                if self.state.awaiting_join && self.state.formation == Some(*formation) {
                    self.join(maps);
                }
            }
            EngineCommand::Outcome {
                version,
                barrier_step,
                verdict,
                ..
            } => self.outcome(*version, *barrier_step, *verdict),
        }
        Some(self.state)
    }

    fn join(&mut self, decisions: &[Decision]) {
        self.state.awaiting_join = false;
        for decision in decisions {
            if decision.barrier_step <= self.state.step + 1 {
                self.map = decision.map.clone();
                self.state.version = decision.version;
            } else {
                self.state.next = Some(decision.version);
                self.next = Some((decision.barrier_step, decision.map.clone()));
            }
        }
    }

    fn outcome(&mut self, version: u64, barrier_step: u64, verdict: Verdict) {
        if self.state.staged != Some(version) {
            return;
        }
        self.state.staged = None;
        self.state.held_step = None;
        if verdict == Verdict::Commit {
            self.state.next = Some(version);
            self.next = Some((barrier_step, std::mem::take(&mut self.staged)));
        }
    }

    pub fn may_run(&self, step: u64) -> bool {
        !self.state.awaiting_join && self.state.held_step.is_none_or(|held| step < held)
    }

    /// Runs the next step and returns it.
    pub fn run(&mut self) -> u64 {
        self.state.step += 1;
        if let Some((_, map)) = self.next.take_if(|next| next.0 <= self.state.step) {
            self.map = map;
            self.state.version = self.state.next.take().unwrap_or_default();
        }
        self.state.step
    }
}

/// Fencing number of a command; a read has none.
pub fn fencing(command: &EngineCommand) -> Option<u64> {
    match command {
        EngineCommand::Read => None,
        EngineCommand::Stage { fencing, .. }
        | EngineCommand::Hold { fencing, .. }
        | EngineCommand::Join { fencing, .. }
        | EngineCommand::Outcome { fencing, .. } => Some(*fencing),
    }
}
