//! Running, ended and remembered attempts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ledger::Attempt;
use wire::proto::{AttemptState, CrashedRequest, End};

use crate::answer::{Answer, WriteState};
use crate::{Ending, Limits, Retention, Suspicion, Timing, Tombstone, Tombstones};

/// How long a tombstone is kept for a repeatable attempt that its entry never
/// released: longer than a start message can be delayed on a link.
const UNACKNOWLEDGED_RETENTION: Duration = Duration::from_mins(5);

/// Retention of tombstones that last as long as the process.
const NEVER_EXPIRES: Duration = Duration::MAX;

/// An attempt that runs or whose answer is held.
pub(crate) struct TrackedAttempt {
    pub answer: Arc<Answer>,
    pub fingerprint: Bytes,
    /// Digests of the parts of its prompt that others may share.
    pub parts: Vec<Bytes>,
    pub retention: Retention,
    pub suspicion: Suspicion,
    pub state: RunState,
    pub started: Instant,
    /// The target's instance when the attempt started; empty if unknown.
    pub instance: String,
    detached_since: Option<Instant>,
    released: Released,
}

/// Whether the entry no longer needs the answer: that of a repeatable call has
/// arrived or was cancelled, that of a non-repeatable call is recorded.
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

impl TrackedAttempt {
    pub fn new(
        answer: Arc<Answer>,
        (fingerprint, parts): (Bytes, Vec<Bytes>),
        retention: Retention,
        suspicion: Suspicion,
        instance: String,
        now: Instant,
    ) -> Self {
        TrackedAttempt {
            answer,
            fingerprint,
            parts,
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
    tracked: BTreeMap<Attempt, TrackedAttempt>,
    /// Counters over `tracked`, kept up to date because every start reads them.
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
            tracked: BTreeMap::new(),
            running: 0,
            suspects: 0,
            held_bytes: 0,
            recorded: Tombstones::new(limits.remembered_attempts, timing.tombstone_retention),
            unrecorded: Tombstones::new(limits.remembered_attempts, NEVER_EXPIRES),
            unacknowledged: Tombstones::new(limits.remembered_attempts, UNACKNOWLEDGED_RETENTION),
        }
    }

    pub fn get(&self, attempt: Attempt) -> Option<&TrackedAttempt> {
        self.tracked.get(&attempt)
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
    pub fn insert(&mut self, attempt: Attempt, tracked: TrackedAttempt) {
        self.running += 1;
        self.suspects += usize::from(tracked.suspicion == Suspicion::Suspect);
        self.tracked.insert(attempt, tracked);
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
        self.tracked.is_empty()
    }

    pub fn state(&self, attempt: Attempt) -> AttemptState {
        match (self.tracked.get(&attempt), self.tombstone(attempt)) {
            (Some(tracked), _) if tracked.is_ended() => AttemptState::Ended,
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
        if let Some(tracked) = self.tracked.get_mut(&attempt)
            && tracked.retention == Retention::UntilAcknowledged
        {
            tracked.released = Released::Yes;
            tracked.answer.cancel.cancel();
        }
    }

    pub fn acknowledge(&self, attempt: Attempt, offset: u64) {
        if let Some(tracked) = self.tracked.get(&attempt) {
            tracked.answer.acknowledge(offset);
        }
    }

    /// Ends an attempt. Returns `false` if it has already ended or is unknown.
    pub fn end(&mut self, attempt: Attempt, ending: Ending, now: Instant) -> bool {
        let Some(tracked) = self.tracked.get_mut(&attempt) else {
            return false;
        };
        if !tracked.is_running() {
            return false;
        }
        tracked.state = RunState::Ended(now);
        tracked.answer.end(ending);
        let suspicion = tracked.suspicion;
        self.count_stopped(suspicion);
        true
    }

    /// Records that an attempt's connection broke. Returns `false` if it had
    /// already ended.
    pub fn mark_connection_lost(&mut self, attempt: Attempt, reason: String) -> bool {
        let Some(tracked) = self.tracked.get_mut(&attempt) else {
            return false;
        };
        if !tracked.is_running() {
            return false;
        }
        tracked.state = RunState::ConnectionLost(reason);
        true
    }

    /// Ends all attempts whose connection broke and returns how they ended.
    pub fn end_broken(&mut self, now: Instant) -> Vec<Ending> {
        let mut endings = Vec::new();
        let mut ended = Vec::new();
        for tracked in self.tracked.values_mut() {
            if let RunState::ConnectionLost(reason) = &tracked.state {
                let ending = Ending::new(End::Lost, reason.clone());
                endings.push(ending.clone());
                tracked.answer.end(ending);
                tracked.state = RunState::Ended(now);
                ended.push(tracked.suspicion);
            }
        }
        for suspicion in ended {
            self.count_stopped(suspicion);
        }
        endings
    }

    /// Marks all attempts that a crashed target may have been running, filtered
    /// by `ran_on_crashed`, and returns them with what they may share with others.
    ///
    /// Attempts whose connection still appears open are included: if one were
    /// reported on its own later, it would count as another crash and convict an
    /// unrelated request.
    pub fn mark_crashed(
        &mut self,
        ran_on_crashed: impl Fn(&TrackedAttempt) -> bool,
    ) -> Vec<(Attempt, CrashedRequest)> {
        let mut crashed = Vec::new();
        let mut suspicions = Vec::new();
        let running = self
            .tracked
            .iter_mut()
            .filter(|(_, tracked)| tracked.is_running());
        for (attempt, tracked) in running {
            if tracked.answer.write_state() == WriteState::Unwritten || !ran_on_crashed(tracked) {
                continue;
            }
            tracked.state = RunState::Crashed;
            tracked.answer.cancel.cancel();
            let request = CrashedRequest {
                fingerprint: tracked.fingerprint.clone(),
                parts: tracked.parts.clone(),
                ..CrashedRequest::default()
            };
            crashed.push((*attempt, request));
            suspicions.push(tracked.suspicion);
        }
        for suspicion in suspicions {
            self.count_stopped(suspicion);
        }
        crashed
    }

    /// Ends the marked attempts once control has recorded the crash.
    pub fn end_crashed(&mut self, crashed: &[Attempt], now: Instant) {
        for attempt in crashed {
            if let Some(tracked) = self.tracked.get_mut(attempt) {
                tracked.state = RunState::Ended(now);
                let ending = Ending::new(End::Crashed, "the target crashed");
                tracked.answer.end(ending);
            }
        }
    }

    /// Drops an attempt whose answer the entry no longer needs. An attempt that
    /// still runs is dropped after it has ended.
    pub fn release(&mut self, attempt: Attempt, now: Instant) {
        if let Some(tracked) = self.tracked.get_mut(&attempt) {
            tracked.released = Released::Yes;
            self.forget(attempt, now);
        }
    }

    fn forget(&mut self, attempt: Attempt, now: Instant) {
        let ended = self
            .tracked
            .get(&attempt)
            .filter(|tracked| tracked.is_ended());
        let Some(tracked) = ended else {
            return;
        };
        let tombstones = match (tracked.retention, tracked.released) {
            (Retention::UntilRecorded, Released::Yes) => &mut self.recorded,
            (Retention::UntilRecorded, Released::No) => &mut self.unrecorded,
            (Retention::UntilAcknowledged, Released::No) => &mut self.unacknowledged,
            // Its only start message was accepted, and the sender is done with it.
            (Retention::UntilAcknowledged, Released::Yes) => {
                self.tracked.remove(&attempt);
                return;
            }
        };
        // Without room for a tombstone the attempt stays tracked, so that it can't
        // start a second time.
        if tombstones.insert(attempt, Tombstone::Forgotten, now) {
            self.tracked.remove(&attempt);
        }
    }

    /// Cancels detached attempts and drops answers that weren't fetched in time.
    pub fn tick(&mut self, timing: &Timing, now: Instant) {
        self.recorded.expire(now);
        self.unacknowledged.expire(now);
        let mut expired = Vec::new();
        self.held_bytes = 0;
        for (attempt, tracked) in &mut self.tracked {
            self.held_bytes += tracked.answer.held_bytes();
            tracked.check_attachment(timing.detach_grace, now);
            let retention = match tracked.retention {
                Retention::UntilRecorded => timing.unrecorded_retention,
                Retention::UntilAcknowledged => timing.answer_retention,
            };
            if let RunState::Ended(ended) = tracked.state
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

impl TrackedAttempt {
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
