//! Steps and expert maps of an engine.

use serde_json::{Value, json};

/// What an engine knows of its steps and maps.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExpertState {
    /// The last step that ran.
    pub step: u64,
    /// Version of the map that it ran with.
    pub version: u64,
    /// Version and content of the map that is loaded but not in use.
    pub staged: Option<(u64, Value)>,
    /// The step that doesn't run until the outcome is known.
    pub held: Option<u64>,
    /// From which step on another version is in use.
    next: Option<(u64, u64)>,
    /// The highest fencing number seen.
    pub fencing: u64,
    /// Each version that ran, and its first step.
    pub history: Vec<(u64, u64)>,
}

impl ExpertState {
    pub fn may_run(&self, step: u64) -> bool {
        self.held.is_none_or(|held| step < held)
    }

    pub fn run(&mut self, step: u64) {
        self.step = step;
        if let Some((_, version)) = self.next.take_if(|(from, _)| step >= *from) {
            self.version = version;
        }
        if self.history.last().map(|(_, version)| *version) != Some(self.version) {
            self.history.push((step, self.version));
        }
    }

    pub fn stage(&mut self, version: u64, map: Value) -> Value {
        self.staged = Some((version, map));
        json!({"version": version, "ready": true, "step": self.step})
    }

    pub fn hold(&mut self, version: u64, step: u64) -> Value {
        let staged = self.staged.as_ref().map(|(staged, _)| *staged);
        let held = staged == Some(version) && self.step < step;
        if held {
            self.held = Some(step);
        }
        json!({"version": version, "held": held, "step": self.step})
    }

    pub fn outcome(&mut self, version: u64, step: u64, end: MapEnd) -> Value {
        let staged = self.staged.as_ref().map(|(staged, _)| *staged);
        let known = staged == Some(version);
        if known {
            self.staged = None;
            self.held = None;
        }
        if known && end == MapEnd::Commit {
            self.next = Some((step, version));
        }
        json!({"version": self.version, "known": known, "step": self.step})
    }

    pub fn to_json(&self) -> Value {
        json!({
            "step": self.step,
            "version": self.version,
            "staged": self.staged.as_ref().map(|(version, _)| version),
            "next": self.next.map(|(_, version)| version),
            "held": self.held,
            "fencing": self.fencing,
        })
    }
}

/// How a map switch ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MapEnd {
    Commit,
    Abort,
}
