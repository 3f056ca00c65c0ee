//! The attempts that an agent knows.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use ledger::Attempt;
use wire::proto::{AttemptState, End};

use crate::answer::{Answer, Stage};
use crate::{Ending, Keep, Limits, Suspicion, Timing, Tombstone, Tombstones};

/// How long a repeatable attempt that nobody acknowledged is remembered once
/// it is forgotten: longer than any start of it can be held up on a link.
const REMEMBER_REPEATABLE: Duration = Duration::from_mins(5);

/// For as long as the agent lives.
const FOR_GOOD: Duration = Duration::MAX;

/// One attempt that runs, or whose answer is held.
pub(crate) struct Known {
    pub answer: Arc<Answer>,
    pub fingerprint: Bytes,
    pub keep: Keep,
    pub suspicion: Suspicion,
    pub state: State,
    pub started: Instant,
    /// The target's instance when it started, as far as that was told.
    pub instance: String,
    unattached: Option<Instant>,
    acknowledged: Acknowledged,
}

/// Whether the entry has said that it needs the answer no more: a repeatable
/// one has arrived or isn't wanted, that of a non-repeatable call is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Acknowledged {
    Yes,
    No,
}

/// How far an attempt has come.
pub(crate) enum State {
    Running,
    /// Its connection broke, and whether the target crashed isn't known yet.
    Broke(String),
    /// The target crashed, and control is being told.
    Crashed,
    Ended(Instant),
}

impl Known {
    pub fn new(
        answer: Arc<Answer>,
        fingerprint: Bytes,
        keep: Keep,
        suspicion: Suspicion,
        instance: String,
        now: Instant,
    ) -> Self {
        Known {
            answer,
            fingerprint,
            keep,
            suspicion,
            state: State::Running,
            started: now,
            instance,
            unattached: None,
            acknowledged: Acknowledged::No,
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.state, State::Running | State::Broke(_))
    }

    fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended(_))
    }
}

/// All attempts that an agent knows, and those that must never start.
pub(crate) struct Attempts {
    known: BTreeMap<Attempt, Known>,
    /// Of the known ones: counted as they change, since each start asks.
    running: usize,
    suspects: usize,
    /// Bytes held of all answers at the last tick.
    held: usize,
    /// Barred attempts, and non-repeatable ones whose answer is recorded.
    kept: Tombstones,
    /// Non-repeatable attempts whose answer nobody recorded in time. The ledger
    /// may take such a one for running at any later time, since its time stands
    /// still while control has no leader. Were it forgotten, it would be barred
    /// as one that never started, and its call run a second time.
    unrecorded: Tombstones,
    /// Repeatable attempts that nobody acknowledged.
    brief: Tombstones,
}

impl Attempts {
    pub fn new(limits: &Limits, timing: &Timing) -> Self {
        Attempts {
            known: BTreeMap::new(),
            running: 0,
            suspects: 0,
            held: 0,
            kept: Tombstones::new(limits.remembered, timing.remember),
            unrecorded: Tombstones::new(limits.remembered, FOR_GOOD),
            brief: Tombstones::new(limits.remembered, REMEMBER_REPEATABLE),
        }
    }

    pub fn get(&self, attempt: Attempt) -> Option<&Known> {
        self.known.get(&attempt)
    }

    pub fn tombstone(&self, attempt: Attempt) -> Option<Tombstone> {
        let all = [&self.kept, &self.unrecorded, &self.brief];
        all.into_iter()
            .find_map(|tombstones| tombstones.get(attempt))
    }

    /// Whether there is room to remember another attempt once it is over.
    pub fn has_room(&self, keep: Keep) -> bool {
        match keep {
            Keep::Whole => !self.kept.is_full() && !self.unrecorded.is_full(),
            Keep::UntilPassed => !self.brief.is_full(),
        }
    }

    /// Enters an attempt that begins to run and was not known before.
    pub fn insert(&mut self, attempt: Attempt, known: Known) {
        self.running += 1;
        self.suspects += usize::from(known.suspicion == Suspicion::Suspect);
        self.known.insert(attempt, known);
    }

    pub fn running(&self) -> usize {
        self.running
    }

    pub fn suspects(&self) -> usize {
        self.suspects
    }

    /// Bytes held of all answers, as of the last tick.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Notes that an attempt runs no longer.
    fn ran(&mut self, suspicion: Suspicion) {
        self.running -= 1;
        self.suspects -= usize::from(suspicion == Suspicion::Suspect);
    }

    pub fn remembered(&self) -> usize {
        self.kept.len() + self.unrecorded.len() + self.brief.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    pub fn state(&self, attempt: Attempt) -> AttemptState {
        match (self.known.get(&attempt), self.tombstone(attempt)) {
            (Some(known), _) if known.is_ended() => AttemptState::Ended,
            (Some(_), _) => AttemptState::Running,
            (None, Some(Tombstone::Barred)) => AttemptState::Barred,
            (None, Some(Tombstone::Forgotten)) => AttemptState::Forgotten,
            (None, None) => AttemptState::Absent,
        }
    }

    /// Bars an attempt that never started, and tells what stands. `Absent`
    /// means that there was no room for the bar: then it proves nothing.
    pub fn bar(&mut self, attempt: Attempt, now: Instant) -> AttemptState {
        let state = self.state(attempt);
        if state == AttemptState::Absent {
            self.kept.insert(attempt, Tombstone::Barred, now);
        }
        self.state(attempt)
    }

    /// Cancels a repeatable attempt. A non-repeatable call goes on: it may
    /// have run, and its answer is worth more than the time it takes.
    pub fn cancel(&mut self, attempt: Attempt) {
        if let Some(known) = self.known.get_mut(&attempt)
            && known.keep == Keep::UntilPassed
        {
            known.acknowledged = Acknowledged::Yes;
            known.answer.cancel.cancel();
        }
    }

    pub fn pass(&self, attempt: Attempt, offset: u64) {
        if let Some(known) = self.known.get(&attempt) {
            known.answer.pass(offset);
        }
    }

    /// Ends an attempt; `false` if it has ended before or isn't known.
    pub fn end(&mut self, attempt: Attempt, ending: Ending, now: Instant) -> bool {
        let Some(known) = self.known.get_mut(&attempt) else {
            return false;
        };
        if !known.is_running() {
            return false;
        }
        known.state = State::Ended(now);
        known.answer.end(ending);
        let suspicion = known.suspicion;
        self.ran(suspicion);
        true
    }

    /// Notes that an attempt's connection broke; `false` if it had ended.
    pub fn broke(&mut self, attempt: Attempt, reason: String) -> bool {
        let Some(known) = self.known.get_mut(&attempt) else {
            return false;
        };
        if !known.is_running() {
            return false;
        }
        known.state = State::Broke(reason);
        true
    }

    /// Ends all attempts whose connection broke, and returns their endings.
    pub fn end_broken(&mut self, now: Instant) -> Vec<Ending> {
        let mut endings = Vec::new();
        let mut ended = Vec::new();
        for known in self.known.values_mut() {
            if let State::Broke(reason) = &known.state {
                let ending = Ending::new(End::Lost, reason.clone());
                endings.push(ending.clone());
                known.answer.end(ending);
                known.state = State::Ended(now);
                ended.push(known.suspicion);
            }
        }
        for suspicion in ended {
            self.ran(suspicion);
        }
        endings
    }

    /// Picks all that a crashed target may have been running, as far as
    /// `ran_on` says that it ran on that one.
    ///
    /// All of them are picked, also those whose connection seems to stand: were
    /// one of them to be reported on its own later, that would count as another
    /// crash, and convict a bystander.
    pub fn pick_crashed(&mut self, ran_on: impl Fn(&Known) -> bool) -> Vec<(Attempt, Bytes)> {
        let mut crashed = Vec::new();
        let mut suspicions = Vec::new();
        let running = self
            .known
            .iter_mut()
            .filter(|(_, known)| known.is_running());
        for (attempt, known) in running {
            if known.answer.stage() == Stage::Unwritten || !ran_on(known) {
                continue;
            }
            known.state = State::Crashed;
            known.answer.cancel.cancel();
            crashed.push((*attempt, known.fingerprint.clone()));
            suspicions.push(known.suspicion);
        }
        for suspicion in suspicions {
            self.ran(suspicion);
        }
        crashed
    }

    /// Ends the attempts that were picked, once control knows of the crash.
    pub fn end_crashed(&mut self, crashed: &[Attempt], now: Instant) {
        for attempt in crashed {
            if let Some(known) = self.known.get_mut(attempt) {
                known.state = State::Ended(now);
                let ending = Ending::new(End::Crashed, "the target crashed");
                known.answer.end(ending);
            }
        }
    }

    /// Forgets an attempt whose answer has arrived or is recorded, as its
    /// entry says. One that still runs stays until it ended.
    pub fn acknowledge(&mut self, attempt: Attempt, now: Instant) {
        if let Some(known) = self.known.get_mut(&attempt) {
            known.acknowledged = Acknowledged::Yes;
            self.forget(attempt, now);
        }
    }

    fn forget(&mut self, attempt: Attempt, now: Instant) {
        let ended = self.known.get(&attempt).filter(|known| known.is_ended());
        let Some(known) = ended else {
            return;
        };
        let tombstones = match (known.keep, known.acknowledged) {
            (Keep::Whole, Acknowledged::Yes) => &mut self.kept,
            (Keep::Whole, Acknowledged::No) => &mut self.unrecorded,
            (Keep::UntilPassed, Acknowledged::No) => &mut self.brief,
            // Its only start was taken, and who sent that wants no more of it.
            (Keep::UntilPassed, Acknowledged::Yes) => {
                self.known.remove(&attempt);
                return;
            }
        };
        // Without room it stays known, so that it can't start a second time.
        if tombstones.insert(attempt, Tombstone::Forgotten, now) {
            self.known.remove(&attempt);
        }
    }

    /// Cancels what nobody waits for and forgets what nobody fetched.
    pub fn tick(&mut self, timing: &Timing, now: Instant) {
        self.kept.expire(now);
        self.brief.expire(now);
        let mut over = Vec::new();
        self.held = 0;
        for (attempt, known) in &mut self.known {
            self.held += known.answer.held();
            known.look_at_link(timing.grace, now);
            let held = match known.keep {
                Keep::Whole => timing.keep,
                Keep::UntilPassed => timing.ended,
            };
            if let State::Ended(ended) = known.state
                && now.saturating_duration_since(ended) >= held
            {
                over.push(*attempt);
            }
        }
        for attempt in over {
            self.forget(attempt, now);
        }
    }
}

impl Known {
    fn look_at_link(&mut self, grace: Duration, now: Instant) {
        if self.answer.is_attached() {
            self.unattached = None;
            return;
        }
        let since = *self.unattached.get_or_insert(now);
        let left = now.saturating_duration_since(since) >= grace;
        if left && self.keep == Keep::UntilPassed {
            self.answer.cancel.cancel();
        }
    }
}
