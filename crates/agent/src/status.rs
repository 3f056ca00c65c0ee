//! What an agent tells entries of its target.

use std::time::Instant;

use wire::proto;

use crate::Health;
use crate::engine::Load;

/// The target's load and health when it was last looked at.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    /// Grows with each look.
    pub sequence: u64,
    pub load: Load,
    pub health: Health,
    pub taken: Instant,
    /// The engine's instance, as far as it tells.
    pub instance: String,
}

impl Status {
    pub fn new(now: Instant) -> Self {
        Status {
            sequence: 0,
            load: Load::default(),
            health: Health::Down,
            taken: now,
            instance: String::new(),
        }
    }

    /// The report as it stands `now`, with the age of its figures.
    pub fn report(&self, now: Instant) -> proto::LoadReport {
        let age = now.saturating_duration_since(self.taken).as_millis();
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
