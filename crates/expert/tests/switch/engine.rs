//! An engine that obeys orders whatever their fencing number.

use bytes::Bytes;
use expert::{EngineOrder, EngineState, Verdict};

/// An engine that obeys orders whatever their fencing number.
#[derive(Default)]
pub struct Engine {
    pub state: EngineState,
    staged: Bytes,
    next: Option<(u64, Bytes)>,
    /// Content of the map in use.
    pub content: Bytes,
}

impl Engine {
    pub fn obey(&mut self, order: &EngineOrder) -> EngineState {
        match order {
            EngineOrder::Read => {}
            EngineOrder::Stage { version, map, .. } => {
                self.state.staged = Some(*version);
                self.staged = map.clone();
            }
            EngineOrder::Hold {
                version,
                barrier_step,
                ..
            } => {
                if self.state.staged == Some(*version) && self.state.step < *barrier_step {
                    self.state.held = Some(*barrier_step);
                }
            }
            EngineOrder::Outcome {
                version,
                barrier_step,
                verdict,
                ..
            } => self.outcome(*version, *barrier_step, *verdict),
        }
        self.state
    }

    fn outcome(&mut self, version: u64, barrier_step: u64, verdict: Verdict) {
        if self.state.staged != Some(version) {
            return;
        }
        self.state.staged = None;
        self.state.held = None;
        if verdict == Verdict::Commit {
            self.state.next = Some(version);
            self.next = Some((barrier_step, std::mem::take(&mut self.staged)));
        }
    }

    pub fn may_run(&self, step: u64) -> bool {
        self.state.held.is_none_or(|held| step < held)
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
