//! Step and expert map state of an engine.

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::EngineSettings;

/// Step and expert map state of an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExpertState {
    /// The last completed step.
    pub step: u64,
    /// Version of the map that this step used.
    pub version: u64,
    /// Digest of that map; empty for the map in use at the start.
    pub digest: String,
    /// That map; null for the map in use at the start.
    pub map: Value,
    /// Version of the map that is being loaded.
    pub loading: Option<u64>,
    /// The map that is loaded but not in use yet.
    pub staged: Option<LoadedMap>,
    /// The first step that is held back until the outcome of the switch is known.
    pub barrier: Option<u64>,
    /// The next map and the first step that uses it.
    next: Option<(u64, LoadedMap)>,
    /// Whether the engine waits for the maps in force after each start.
    pub waits: bool,
    /// Whether no step runs because the maps in force are not known yet.
    pub waiting: bool,
    /// Number and ranks of the formation that the engine belongs to; number 0
    /// between two formations, `None` for an engine without a collective.
    pub formation: Option<(u64, Vec<u32>)>,
    /// The highest fencing number seen.
    pub fencing: u64,
    /// Map versions used so far: the first step that used each, and the version.
    pub history: Vec<(u64, u64)>,
    /// Tokens processed by each expert of a layer.
    pub tokens: Vec<u64>,
}

/// A loaded map.
#[derive(Clone, Debug)]
pub(crate) struct LoadedMap {
    pub version: u64,
    pub digest: String,
    pub map: Value,
}

impl LoadedMap {
    pub fn new(version: u64, map: Value) -> Self {
        let digest = Sha256::digest(map.to_string());
        let digest = digest[..8].iter().map(|byte| format!("{byte:02x}"));
        LoadedMap {
            version,
            digest: digest.collect(),
            map,
        }
    }
}

impl ExpertState {
    /// State of an engine that was just started.
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
        !self.waiting && self.barrier.is_none_or(|barrier| step < barrier)
    }

    pub fn run(&mut self, step: u64) {
        self.step = step;
        if let Some((_, next)) = self.next.take_if(|(from, _)| step >= *from) {
            self.activate(next);
        }
        if self.history.last().map(|(_, version)| *version) != Some(self.version) {
            self.history.push((step, self.version));
        }
    }

    /// Adds the tokens of a step to the counters; `popularity` is rotated by one
    /// expert every `drift_steps` steps.
    pub fn count_tokens(&mut self, popularity: &[u32], drift_steps: u64) {
        let experts = popularity.len();
        let rotation = self.step.checked_div(drift_steps).unwrap_or_default();
        let rotation = usize::try_from(rotation).unwrap_or_default();
        for (expert, tokens) in popularity.iter().enumerate() {
            self.tokens[(expert + rotation) % experts] += u64::from(*tokens);
        }
    }

    fn activate(&mut self, map: LoadedMap) {
        self.version = map.version;
        self.digest = map.digest;
        self.map = map.map;
    }

    /// Starts to load a map; false if it is already loading or loaded.
    pub fn begin_loading(&mut self, version: u64) -> bool {
        let is_new = self.loading != Some(version) && !self.is_staged(version);
        if is_new {
            self.loading = Some(version);
        }
        is_new
    }

    /// Stages a map that was loaded, unless the switch was aborted in the meantime.
    pub fn finish_loading(&mut self, map: LoadedMap) {
        if self
            .loading
            .take_if(|loading| *loading == map.version)
            .is_some()
        {
            self.staged = Some(map);
        }
    }

    /// Returns the reply to a stage command.
    pub fn stage(&self, version: u64) -> Value {
        let ready = self.is_staged(version);
        json!({"version": version, "ready": ready, "step": self.step})
    }

    pub fn hold(&mut self, version: u64, step: u64) -> Value {
        let can_hold = self.is_staged(version) && self.step < step;
        if can_hold {
            self.barrier = Some(step);
        }
        json!({"version": version, "held": can_hold, "step": self.step})
    }

    pub fn outcome(&mut self, version: u64, step: u64, outcome: MapOutcome) -> Value {
        let staged = self.staged.take_if(|staged| staged.version == version);
        let loading = self.loading.take_if(|loading| *loading == version);
        let known = staged.is_some() || loading.is_some();
        if let Some(staged) = staged {
            self.barrier = None;
            if outcome == MapOutcome::Commit {
                self.next = Some((step, staged));
            }
        }
        json!({"version": self.version, "known": known, "step": self.step})
    }

    /// Adopts the maps in force, given with their first steps, oldest first, and
    /// resumes stepping. Does nothing unless the engine waits for them.
    pub fn join(&mut self, maps: Vec<(u64, LoadedMap)>) -> Value {
        if std::mem::take(&mut self.waiting) {
            for (from, map) in maps {
                if from <= self.step + 1 {
                    self.activate(map);
                } else {
                    self.next = Some((from, map));
                }
            }
        }
        json!({"version": self.version, "step": self.step})
    }

    /// Returns the reply to a join command for another formation, which has no effect.
    pub fn ignore_join(&self) -> Value {
        json!({"version": self.version, "step": self.step})
    }

    /// Whether the engine belongs to this formation; without a collective the
    /// formation is 0.
    pub fn is_in_formation(&self, formation: u64) -> bool {
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
            "held": self.barrier,
            "waits": self.waits,
            "waiting": self.waiting,
            "formation": formation.map(|(number, _)| *number),
            "ranks": formation.map_or(&[][..], |(_, ranks)| ranks),
            "fencing": self.fencing,
        })
    }
}

/// Outcome of a map switch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MapOutcome {
    Commit,
    Abort,
}
