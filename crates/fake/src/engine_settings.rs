//! Settings of the fake engine.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Listening address; port 0 lets the kernel choose one.
    pub address: SocketAddr,
    /// Ranks run by the engine.
    pub ranks: Vec<u32>,
    /// Models served.
    pub models: Vec<String>,
    /// Adapters served.
    pub adapters: Vec<String>,
    /// Model versions served.
    pub versions: Vec<String>,
    /// Duration of a step, in which each running request produces one token.
    /// With zero, tokens are produced as fast as they are read.
    pub step_time: Duration,
    /// Most requests running at the same time; others wait in a queue.
    pub max_running: u32,
    /// Tokens of a response whose request does not set `max_tokens`.
    pub default_max_tokens: u64,
    /// How commands with a stale fencing number are treated.
    pub fencing_check: FencingCheck,
    /// Time taken to stage an expert map.
    pub staging_time: Duration,
    /// Address of the weight store that experts are loaded from.
    pub weight_store: Option<SocketAddr>,
    /// Number of layers with experts.
    pub layers: usize,
    /// Tokens that each step adds to the counters of a layer, by expert.
    pub popularity: Vec<u32>,
    /// Steps after which `popularity` is rotated by one expert; 0 for never.
    pub drift_steps: u64,
    /// Address of the [collective](crate::Collective) that synchronizes the steps
    /// of the group.
    pub collective: Option<SocketAddr>,
    /// Whether the engine runs no step after a start until it is told which
    /// maps are in force.
    pub waits_for_map: bool,
}

/// How an engine treats commands with a stale fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingCheck {
    /// Refuses the command.
    Refuse,
    /// Executes it.
    Ignore,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            ranks: vec![0],
            models: vec!["burl-notes".into()],
            adapters: vec!["spalted".into()],
            versions: vec!["2026-11".into()],
            step_time: Duration::from_millis(2),
            max_running: 64,
            default_max_tokens: 16,
            fencing_check: FencingCheck::Ignore,
            staging_time: Duration::ZERO,
            weight_store: None,
            layers: 2,
            popularity: vec![4, 3, 2, 1],
            drift_steps: 0,
            collective: None,
            waits_for_map: false,
        }
    }
}
