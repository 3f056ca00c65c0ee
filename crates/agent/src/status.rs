//! Load and health of the target, as reported to entries.

use std::time::Instant;

use wire::proto;

use crate::Health;
use crate::engine::Load;

/// The target's load and health at the last poll.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    /// Grows with each change.
    pub sequence: u64,
    pub load: Load,
    pub health: Health,
    pub measured_at: Instant,
    /// Instance of the engine; empty if it is unknown.
    pub instance: String,
}

impl Status {
    pub fn new(now: Instant) -> Self {
        Status {
            sequence: 0,
            load: Load::default(),
            health: Health::Down,
            measured_at: now,
            instance: String::new(),
        }
    }

    /// The load report at `now`, with the age of its figures.
    pub fn report(&self, now: Instant) -> proto::LoadReport {
        let age = now.saturating_duration_since(self.measured_at).as_millis();
        let ranks = self.load.ranks.iter().map(|load| proto::RankLoad {
            rank: load.rank,
            running: load.running,
            queued_tokens: load.queued_tokens,
            kv_used_permille: load.kv_used_permille,
            step_us: load.step_us,
        });
        proto::LoadReport {
            sequence: self.sequence,
            ranks: ranks.collect(),
            running: self.load.running,
            queued: self.load.queued,
            limit: self.load.limit,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            healthy: self.health == Health::Up,
        }
    }
}
