//! Settings of the engine.

use std::net::SocketAddr;
use std::time::Duration;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Where it listens; port 0 lets the kernel choose.
    pub address: SocketAddr,
    /// Ranks that it runs.
    pub ranks: Vec<u32>,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Adapters that it serves.
    pub adapters: Vec<String>,
    /// Versions that it serves.
    pub versions: Vec<String>,
    /// Time of one step; each running request gets one token a step. Zero
    /// gives tokens as fast as they are read.
    pub step_time: Duration,
    /// Requests that run at once; more wait in its queue.
    pub max_running: u32,
    /// Tokens of an answer whose request doesn't say `max_tokens`.
    pub default_max_tokens: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing_check: FencingCheck,
    /// Time that staging an expert map takes.
    pub staging_time: Duration,
    /// The weight store that it loads experts from.
    pub weight_store: Option<SocketAddr>,
    /// Layers with experts.
    pub layers: usize,
    /// Tokens that each step adds to each expert of a layer, by expert.
    pub popularity: Vec<u32>,
    /// Steps after which the popularity moves on by one expert; 0 for never.
    pub drift_steps: u64,
    /// The collective that it steps in with the other engines of its group.
    pub collective: Option<SocketAddr>,
    /// Whether it runs no step after a start until it is told which maps are
    /// in force.
    pub waits_for_map: bool,
}

/// What an engine does with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FencingCheck {
    /// Refuses the order.
    Refuse,
    /// Obeys it.
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
