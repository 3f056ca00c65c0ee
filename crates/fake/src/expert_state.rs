//! Steps and expert maps of an engine.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::EngineSettings;

/// What an engine knows of its steps and maps.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExpertState {
    /// The last step that ran.
    pub step: u64,
    /// Version of the map that it ran with.
    pub version: u64,
    /// Digest of that map; empty for the one that it was started with.
    pub content: String,
    /// The map itself; null for the one that it was started with.
    pub map: Value,
    /// Version of the map that is being loaded.
    pub loading: Option<u64>,
    /// The map that is loaded but not in use.
    pub staged: Option<Loaded>,
    /// The step that doesn't run until the outcome is known.
    pub held: Option<u64>,
    /// From which step on another map is in use.
    next: Option<(u64, Loaded)>,
    /// Whether it waits after each start.
    pub waits: bool,
    /// Whether no step runs until it is told which maps are in force.
    pub waiting: bool,
    /// Number of the formation that it steps in, and the ranks of that; 0
    /// between two, `None` for an engine on its own.
    pub formation: Option<(u64, Vec<u32>)>,
    /// The highest fencing number seen.
    pub fencing: u64,
    /// Each version that ran, and its first step.
    pub history: Vec<(u64, u64)>,
    /// Tokens that each expert of a layer has computed.
    pub tokens: Vec<u64>,
}

/// A map that is loaded.
#[derive(Clone, Debug)]
pub(crate) struct Loaded {
    pub version: u64,
    pub content: String,
    pub map: Value,
}

impl Loaded {
    pub fn new(version: u64, map: Value) -> Self {
        let digest = Sha256::digest(map.to_string());
        let content = digest[..8].iter().map(|byte| format!("{byte:02x}"));
        Loaded {
            version,
            content: content.collect(),
            map,
        }
    }
}

impl ExpertState {
    /// An engine that was just started, in a collective or on its own.
    pub fn new(cfg: &EngineSettings) -> Self {
        ExpertState {
            waits: cfg.waits_for_map,
            waiting: cfg.waits_for_map,
            formation: cfg.collective.map(|_| (0, Vec::new())),
            tokens: vec![0; cfg.popularity.len()],
            ..ExpertState::default()
        }
    }

    pub fn may_run(&self, step: u64) -> bool {
        !self.waiting && self.held.is_none_or(|held| step < held)
    }

    pub fn run(&mut self, step: u64) {
        self.step = step;
        if let Some((_, next)) = self.next.take_if(|(from, _)| step >= *from) {
            self.change(next);
        }
        if self.history.last().map(|(_, version)| *version) != Some(self.version) {
            self.history.push((step, self.version));
        }
    }

    /// Counts a step's tokens; which expert is hot moves on every `drift`
    /// steps.
    pub fn count(&mut self, popularity: &[u32], drift: u64) {
        let experts = popularity.len();
        let turn = self.step.checked_div(drift).unwrap_or_default();
        let turn = usize::try_from(turn).unwrap_or_default();
        for (expert, tokens) in popularity.iter().enumerate() {
            self.tokens[(expert + turn) % experts] += u64::from(*tokens);
        }
    }

    fn change(&mut self, map: Loaded) {
        self.version = map.version;
        self.content = map.content;
        self.map = map.map;
    }

    /// Begins to load a map; false if it is loading or loaded already.
    pub fn load(&mut self, version: u64) -> bool {
        let is_new = self.loading != Some(version) && !self.is_staged(version);
        if is_new {
            self.loading = Some(version);
        }
        is_new
    }

    /// Ends loading, unless that was given up in the meantime.
    pub fn loaded(&mut self, map: Loaded) {
        if self
            .loading
            .take_if(|loading| *loading == map.version)
            .is_some()
        {
            self.staged = Some(map);
        }
    }

    /// Answers an order to stage.
    pub fn stage(&self, version: u64) -> Value {
        let ready = self.is_staged(version);
        json!({"version": version, "ready": ready, "step": self.step})
    }

    pub fn hold(&mut self, version: u64, step: u64) -> Value {
        let held = self.is_staged(version) && self.step < step;
        if held {
            self.held = Some(step);
        }
        json!({"version": version, "held": held, "step": self.step})
    }

    pub fn outcome(&mut self, version: u64, step: u64, end: MapEnd) -> Value {
        let staged = self.staged.take_if(|staged| staged.version == version);
        let loading = self.loading.take_if(|loading| *loading == version);
        let known = staged.is_some() || loading.is_some();
        if let Some(staged) = staged {
            self.held = None;
            if end == MapEnd::Commit {
                self.next = Some((step, staged));
            }
        }
        json!({"version": self.version, "known": known, "step": self.step})
    }

    /// Takes over the maps in force, each with its first step, oldest first,
    /// and goes on; does nothing unless it waits for them.
    pub fn join(&mut self, maps: Vec<(u64, Loaded)>) -> Value {
        if std::mem::take(&mut self.waiting) {
            for (from, map) in maps {
                if from <= self.step + 1 {
                    self.change(map);
                } else {
                    self.next = Some((from, map));
                }
            }
        }
        json!({"version": self.version, "step": self.step})
    }

    /// Answers an order to join in another formation, which does nothing.
    pub fn join_elsewhere(&self) -> Value {
        json!({"version": self.version, "step": self.step})
    }

    /// Whether it steps in this formation; an engine on its own is in 0.
    pub fn is_in(&self, formation: u64) -> bool {
        match self.formation {
            Some((number, _)) => number > 0 && number == formation,
            None => formation == 0,
        }
    }

    fn is_staged(&self, version: u64) -> bool {
        self.staged.as_ref().map(|staged| staged.version) == Some(version)
    }

    pub fn to_json(&self) -> Value {
        let formation = self.formation.as_ref();
        json!({
            "step": self.step,
            "version": self.version,
            "loading": self.loading,
            "staged": self.staged.as_ref().map(|staged| staged.version),
            "next": self.next.as_ref().map(|(_, next)| next.version),
            "held": self.held,
            "waits": self.waits,
            "waiting": self.waiting,
            "formation": formation.map(|(number, _)| *number),
            "ranks": formation.map_or(&[][..], |(_, ranks)| ranks),
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
