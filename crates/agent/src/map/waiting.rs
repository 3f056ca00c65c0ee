//! What a switch waits for, as the log tells.

use std::time::{Duration, Instant};

use crate::map::chooser::Chooser;
use crate::map::state::State;

/// Between two lines about what a switch waits for: a switch that goes well is
/// over by then.
const LOG_WAITING: Duration = Duration::from_secs(1);

impl State {
    /// Says from time to time what a switch waits for.
    pub fn log_waiting(&mut self, now: Instant) {
        if now < self.log_at {
            return;
        }
        self.log_at = now + LOG_WAITING;
        let Some(coordinator) = &self.coordinator else {
            return;
        };
        let (phase, waiting) = coordinator.status();
        let counted = self.chooser.as_ref().map_or(0, Chooser::counted);
        let known = self.party.ranks.is_some();
        if phase != "idle" || !known || self.chooser.is_none() {
            log::info!(
                group = self.cx.group.as_str(), phase = phase, waiting:? = waiting,
                formation = self.party.formation, ranks_known = known, counted = counted;
                "expert map waits"
            );
        }
    }
}
