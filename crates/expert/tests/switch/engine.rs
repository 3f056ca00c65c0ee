//! An engine that may or may not check fencing numbers.

use bytes::Bytes;
use expert::{Decision, EngineCommand, EngineState, Verdict};

/// What an engine does with an old fencing number.
#[derive(Clone, Copy, PartialEq)]
pub enum FencingCheck {
    Ignore,
    Refuse,
}

/// An engine that may or may not check fencing numbers.
pub struct Engine {
    pub state: EngineState,
    pub check: FencingCheck,
    fencing: u64,
    staged: Bytes,
    next: Option<(u64, Bytes)>,
    /// Content of the map in use.
    pub content: Bytes,
    /// Whether it answers.
    pub alive: bool,
}

impl Engine {
    /// An engine that was just started at the step where the others are.
    pub fn start(check: FencingCheck, step: u64) -> Engine {
        Engine {
            state: EngineState {
                step,
                requires_join: true,
                awaiting_join: true,
                ..EngineState::default()
            },
            check,
            fencing: 0,
            staged: Bytes::new(),
            next: None,
            content: Bytes::new(),
            alive: true,
        }
    }

    /// The state after the order, or `None` if it was refused.
    pub fn obey(&mut self, order: &EngineCommand) -> Option<EngineState> {
        let fencing = fencing(order).unwrap_or(self.fencing);
        if self.check == FencingCheck::Refuse && fencing < self.fencing {
            return None;
        }
        self.fencing = self.fencing.max(fencing);
        match order {
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

    fn join(&mut self, maps: &[Decision]) {
        self.state.awaiting_join = false;
        for map in maps {
            if map.barrier_step <= self.state.step + 1 {
                self.content = map.map.clone();
                self.state.version = map.version;
            } else {
                self.state.next = Some(map.version);
                self.next = Some((map.barrier_step, map.map.clone()));
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
        if let Some((_, content)) = self.next.take_if(|next| next.0 <= self.state.step) {
            self.content = content;
            self.state.version = self.state.next.take().unwrap_or_default();
        }
        self.state.step
    }
}

/// Fencing number of an order; a read has none.
pub fn fencing(order: &EngineCommand) -> Option<u64> {
    match order {
        EngineCommand::Read => None,
        EngineCommand::Stage { fencing, .. }
        | EngineCommand::Hold { fencing, .. }
        | EngineCommand::Join { fencing, .. }
        | EngineCommand::Outcome { fencing, .. } => Some(*fencing),
    }
}
