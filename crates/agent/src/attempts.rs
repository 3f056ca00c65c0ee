//! Running, ended and remembered attempts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ledger::Attempt;
use wire::proto::{AttemptState, End};

use crate::answer::{Answer, WriteState};
use crate::{Ending, Limits, Retention, Suspicion, Timing, Tombstone, Tombstones};

/// How long a tombstone is kept for a repeatable attempt that its entry never
/// released: longer than a start message can be delayed on a link.
const UNACKNOWLEDGED_RETENTION: Duration = Duration::from_mins(5);

/// Retention of tombstones that last as long as the process.
const NEVER_EXPIRES: Duration = Duration::MAX;

/// An attempt that runs or whose answer is held.
pub(crate) struct AttemptEntry {
    pub answer: Arc<Answer>,
    pub fingerprint: Bytes,
    pub retention: Retention,
    pub suspicion: Suspicion,
    pub state: RunState,
    pub started: Instant,
    /// The target's instance when the attempt started; empty if unknown.
    pub instance: String,
    detached_since: Option<Instant>,
    released: Released,
}

/// Whether the entry process no longer needs the answer: that of a repeatable
/// call has arrived or was cancelled, that of a non-repeatable call is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Released {
    Yes,
    No,
}

/// Progress of an attempt.
pub(crate) enum RunState {
    Running,
    /// The connection broke, and whether the target crashed isn't known yet.
    ConnectionLost(String),
    /// The target crashed, and the crash is being reported to control.
    Crashed,
    Ended(Instant),
}

impl AttemptEntry {
    pub fn new(
        answer: Arc<Answer>,
        fingerprint: Bytes,
        retention: Retention,
        suspicion: Suspicion,
        instance: String,
        now: Instant,
    ) -> Self {
        AttemptEntry {
            answer,
            fingerprint,
            retention,
            suspicion,
            state: RunState::Running,
            started: now,
            instance,
            detached_since: None,
            released: Released::No,
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.state, RunState::Running | RunState::ConnectionLost(_))
    }

    fn is_ended(&self) -> bool {
        matches!(self.state, RunState::Ended(_))
    }
}

/// All attempts that an agent knows, and tombstones of those that must never
/// start.
pub(crate) struct Attempts {
    entries: BTreeMap<Attempt, AttemptEntry>,
    /// Counters over `entries`, kept up to date because every start reads them.
    running: usize,
    suspects: usize,
    /// Bytes held for all answers at the last tick.
    held_bytes: usize,
    /// Barred attempts, and non-repeatable ones whose answer is recorded.
    recorded: Tombstones,
    /// Non-repeatable attempts whose answer wasn't recorded in time. Their
    /// tombstones never expire: the ledger's clock stops while control has no
    /// leader, so it may consider such an attempt running at any later time.
    /// Without the tombstone the attempt would be barred as never started, and
    /// its call would run a second time.
    unrecorded: Tombstones,
    /// Repeatable attempts that weren't released.
    unacknowledged: Tombstones,
}

impl Attempts {
    pub fn new(limits: &Limits, timing: &Timing) -> Self {
        Attempts {
            entries: BTreeMap::new(),
            running: 0,
            suspects: 0,
            held_bytes: 0,
            recorded: Tombstones::new(limits.remembered_attempts, timing.tombstone_retention),
            unrecorded: Tombstones::new(limits.remembered_attempts, NEVER_EXPIRES),
            unacknowledged: Tombstones::new(limits.remembered_attempts, UNACKNOWLEDGED_RETENTION),
        }
    }

    pub fn get(&self, attempt: Attempt) -> Option<&AttemptEntry> {
        self.entries.get(&attempt)
    }

    pub fn tombstone(&self, attempt: Attempt) -> Option<Tombstone> {
        let all = [&self.recorded, &self.unrecorded, &self.unacknowledged];
        all.into_iter()
            .find_map(|tombstones| tombstones.get(attempt))
    }

    /// Whether there is room for the tombstone of another attempt.
    pub fn has_room(&self, retention: Retention) -> bool {
        match retention {
            Retention::UntilRecorded => !self.recorded.is_full() && !self.unrecorded.is_full(),
            Retention::UntilAcknowledged => !self.unacknowledged.is_full(),
        }
    }

    /// Adds an attempt that begins to run.
    pub fn insert(&mut self, attempt: Attempt, entry: AttemptEntry) {
        self.running += 1;
        self.suspects += usize::from(entry.suspicion == Suspicion::Suspect);
        self.entries.insert(attempt, entry);
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn suspects(&self) -> usize {
        self.suspects
    }

    /// Bytes held for all answers, as of the last tick.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Updates the counters for an attempt that no longer runs.
    fn count_stopped(&mut self, suspicion: Suspicion) {
        self.running -= 1;
        self.suspects -= usize::from(suspicion == Suspicion::Suspect);
    }

    pub fn tombstones(&self) -> usize {
        self.recorded.len() + self.unrecorded.len() + self.unacknowledged.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn state(&self, attempt: Attempt) -> AttemptState {
        match (self.entries.get(&attempt), self.tombstone(attempt)) {
            (Some(entry), _) if entry.is_ended() => AttemptState::Ended,
            (Some(_), _) => AttemptState::Running,
            (None, Some(Tombstone::Barred)) => AttemptState::Barred,
            (None, Some(Tombstone::Forgotten)) => AttemptState::Forgotten,
            (None, None) => AttemptState::Absent,
        }
    }

    /// Bars an attempt that never started, and returns its state. `Absent` means
    /// that there was no room for the tombstone, and the attempt may still start.
    pub fn bar(&mut self, attempt: Attempt, now: Instant) -> AttemptState {
        let state = self.state(attempt);
        if state == AttemptState::Absent {
            self.recorded.insert(attempt, Tombstone::Barred, now);
        }
        self.state(attempt)
    }

    /// Cancels a repeatable attempt. A non-repeatable call continues: it may have
    /// run, and its answer is needed.
    pub fn cancel(&mut self, attempt: Attempt) {
        if let Some(entry) = self.entries.get_mut(&attempt)
            && entry.retention == Retention::UntilAcknowledged
        {
            entry.released = Released::Yes;
            entry.answer.cancel.cancel();
        }
    }

    pub fn acknowledge(&self, attempt: Attempt, offset: u64) {
        if let Some(entry) = self.entries.get(&attempt) {
            entry.answer.acknowledge(offset);
        }
    }

    /// Ends an attempt. Returns `false` if it has already ended or is unknown.
    pub fn end(&mut self, attempt: Attempt, ending: Ending, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return false;
        };
        if !entry.is_running() {
            return false;
        }
        entry.state = RunState::Ended(now);
        entry.answer.end(ending);
        let suspicion = entry.suspicion;
        self.count_stopped(suspicion);
        true
    }

    /// Records that an attempt's connection broke. Returns `false` if it had
    /// already ended.
    pub fn mark_connection_lost(&mut self, attempt: Attempt, reason: String) -> bool {
        let Some(entry) = self.entries.get_mut(&attempt) else {
            return false;
        };
        if !entry.is_running() {
            return false;
        }
        entry.state = RunState::ConnectionLost(reason);
        true
    }

    /// Ends all attempts whose connection broke and returns how they ended.
    pub fn end_broken(&mut self, now: Instant) -> Vec<Ending> {
        let mut endings = Vec::new();
        let mut ended = Vec::new();
        for entry in self.entries.values_mut() {
            if let RunState::ConnectionLost(reason) = &entry.state {
                let ending = Ending::new(End::Lost, reason.clone());
                endings.push(ending.clone());
                entry.answer.end(ending);
                entry.state = RunState::Ended(now);
                ended.push(entry.suspicion);
            }
        }
        for suspicion in ended {
            self.count_stopped(suspicion);
        }
        endings
    }

    /// Marks all attempts that a crashed target may have been running, filtered
    /// by `ran_on_crashed`, and returns them with their fingerprints.
    ///
    /// Attempts whose connection still appears open are included: if one were
    /// reported on its own later, it would count as another crash and convict an
    /// unrelated request.
    pub fn mark_crashed(
        &mut self,
        ran_on_crashed: impl Fn(&AttemptEntry) -> bool,
    ) -> Vec<(Attempt, Bytes)> {
        let mut crashed = Vec::new();
        let mut suspicions = Vec::new();
        let running = self
            .entries
            .iter_mut()
            .filter(|(_, entry)| entry.is_running());
        for (attempt, entry) in running {
            if entry.answer.write_state() == WriteState::Unwritten || !ran_on_crashed(entry) {
                continue;
            }
            entry.state = RunState::Crashed;
            entry.answer.cancel.cancel();
            crashed.push((*attempt, entry.fingerprint.clone()));
            suspicions.push(entry.suspicion);
        }
        for suspicion in suspicions {
            self.count_stopped(suspicion);
        }
        crashed
    }

    /// Ends the marked attempts once control has recorded the crash.
    pub fn end_crashed(&mut self, crashed: &[Attempt], now: Instant) {
        for attempt in crashed {
            if let Some(entry) = self.entries.get_mut(attempt) {
                entry.state = RunState::Ended(now);
                let ending = Ending::new(End::Crashed, "the target crashed");
                entry.answer.end(ending);
            }
        }
    }

    /// Drops an attempt whose answer the entry process no longer needs. An
    /// attempt that still runs is dropped after it has ended.
    pub fn release(&mut self, attempt: Attempt, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.released = Released::Yes;
            self.forget(attempt, now);
        }
    }

    fn forget(&mut self, attempt: Attempt, now: Instant) {
        let ended = self.entries.get(&attempt).filter(|entry| entry.is_ended());
        let Some(entry) = ended else {
            return;
        };
        let tombstones = match (entry.retention, entry.released) {
            (Retention::UntilRecorded, Released::Yes) => &mut self.recorded,
            (Retention::UntilRecorded, Released::No) => &mut self.unrecorded,
            (Retention::UntilAcknowledged, Released::No) => &mut self.unacknowledged,
            // Its only start message was accepted, and the sender is done with it.
            (Retention::UntilAcknowledged, Released::Yes) => {
                self.entries.remove(&attempt);
                return;
            }
        };
        // Without room for a tombstone the entry stays, so that the attempt can't
        // start a second time.
        if tombstones.insert(attempt, Tombstone::Forgotten, now) {
            self.entries.remove(&attempt);
        }
    }

    /// Cancels detached attempts and drops answers that weren't fetched in time.
    pub fn tick(&mut self, timing: &Timing, now: Instant) {
        self.recorded.expire(now);
        self.unacknowledged.expire(now);
        let mut expired = Vec::new();
        self.held_bytes = 0;
        for (attempt, entry) in &mut self.entries {
            self.held_bytes += entry.answer.held_bytes();
            entry.check_attachment(timing.detach_grace, now);
            let retention = match entry.retention {
                Retention::UntilRecorded => timing.unrecorded_retention,
                Retention::UntilAcknowledged => timing.answer_retention,
            };
            if let RunState::Ended(ended) = entry.state
                && now.saturating_duration_since(ended) >= retention
            {
                expired.push(*attempt);
            }
        }
        for attempt in expired {
            self.forget(attempt, now);
        }
    }
}

impl AttemptEntry {
    fn check_attachment(&mut self, grace: Duration, now: Instant) {
        if self.answer.is_attached() {
            self.detached_since = None;
            return;
        }
        let since = *self.detached_since.get_or_insert(now);
        let expired = now.saturating_duration_since(since) >= grace;
        if expired && self.retention == Retention::UntilAcknowledged {
            self.answer.cancel.cancel();
        }
    }
}
