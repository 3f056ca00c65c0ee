//! Logs what a switch waits for.

use std::time::{Duration, Instant};

use crate::map::map_planner::MapPlanner;
use crate::map::state::State;

/// Interval of the log lines; longer than a switch without problems takes.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl State {
    /// Logs from time to time what a switch waits for.
    pub fn log_waiting(&mut self, now: Instant) {
        if now < self.next_waiting_log {
            return;
        }
        self.next_waiting_log = now + LOG_INTERVAL;
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        let (phase, waiting) = coordinator.status();
        let counted = self.planner.as_ref().map_or(0, MapPlanner::counted);
        let known = self.participants.ranks.is_some();
        if phase != "idle" || !known || self.planner.is_none() {
            log::info!(
                group = self.cx.group.as_str(), phase = phase, waiting:? = waiting,
                formation = self.participants.formation, ranks_known = known, counted = counted;
                "expert map switch is waiting"
            );
        }
    }
}
