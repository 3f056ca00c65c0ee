//! Number of entries, as reported by control.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for which the highest reported number counts. An entry that control has lost may
/// still serve callers.
const RETENTION: Duration = Duration::from_mins(1);
/// Time after the first report until the number is used. After a common start, control
/// hears of the entries within a few report intervals.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// The highest number of entries that control has lately reported.
#[derive(Debug, Default)]
pub(crate) struct EntryCount {
    state: Mutex<Option<State>>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    first_at: Instant,
    highest: u32,
    highest_at: Instant,
}

impl EntryCount {
    /// Records a report.
    pub(crate) fn record(&self, entries: u32, now: Instant) {
        if entries == 0 {
            return;
        }
        let mut state = self.lock();
        let known = state.get_or_insert(State {
            first_at: now,
            highest: entries,
            highest_at: now,
        });
        let is_outdated = now.saturating_duration_since(known.highest_at) > RETENTION;
        if entries >= known.highest || is_outdated {
            known.highest = entries;
            known.highest_at = now;
        }
    }

    /// The number of entries; `None` until it is settled.
    pub(crate) fn current(&self, now: Instant) -> Option<u32> {
        let state = (*self.lock())?;
        let is_settled = now.saturating_duration_since(state.first_at) >= SETTLING_TIME;
        is_settled.then_some(state.highest)
    }

    fn lock(&self) -> MutexGuard<'_, Option<State>> {
        // Changes under the lock cannot panic midway.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
