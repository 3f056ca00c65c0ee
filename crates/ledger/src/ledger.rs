//! The state machine.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Record, State, ended};
use crate::{Attempt, CallKey, CallOutcome, Claim, Holder, KeyStatus, Limits, UnprovedCall};

/// Reason of a claim whose attempt was never reported on.
const OUTLIVED: &str = "nothing was heard of the attempt in time";

/// At most one attempt for each key, bounded in number, bytes and time.
///
/// Each call first brings the ledger up to `now_ms`: claims that run for too
/// long become unknown, records of calls that ended go once they have been
/// kept long enough. A time before the latest one seen counts as the latest
/// one. What nobody proved to have ended goes by no time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    limits: Limits,
    now_ms: u64,
    bytes: usize,
    records: BTreeMap<CallKey, Record>,
    /// The same keys by the time at which something falls due.
    due: BTreeSet<(u64, CallKey)>,
    /// Counted as they change, since each claim asks.
    running: usize,
    unproved: usize,
}

impl Ledger {
    /// An empty ledger.
    ///
    /// ```
    /// assert!(ledger::Ledger::new(ledger::Limits::default()).is_empty());
    /// ```
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Ledger {
            limits,
            now_ms: 0,
            bytes: 0,
            records: BTreeMap::new(),
            due: BTreeSet::new(),
            running: 0,
            unproved: 0,
        }
    }

    /// Claims a key for an attempt.
    ///
    /// The same claim again, by an entry that lost the answer, is granted
    /// again while it stands: it names the same attempt, which an agent
    /// starts once at most.
    ///
    /// ```
    /// # use ledger::*;
    /// # let mut ledger = Ledger::new(Limits::default());
    /// let claim = Claim {
    ///     key: CallKey::new("zdravko", "crew-9"),
    ///     digest: Digest([0; 32]),
    ///     attempt: Attempt(1),
    ///     target: "dezurna-01".into(),
    ///     incarnation: 4,
    /// };
    /// assert_eq!(ledger.claim(claim.clone(), 0), KeyStatus::Claimed);
    /// let other = Claim { digest: Digest([1; 32]), ..claim };
    /// assert_eq!(ledger.claim(other, 0), KeyStatus::Mismatch);
    /// ```
    pub fn claim(&mut self, claim: Claim, now_ms: u64) -> KeyStatus {
        self.expire(now_ms);
        if let Some(record) = self.records.get(&claim.key) {
            return status_for(record, &claim);
        }
        let record = Record {
            digest: claim.digest,
            holder: Holder {
                attempt: claim.attempt,
                target: claim.target,
                incarnation: claim.incarnation,
            },
            state: State::Running {
                until_ms: self.now_ms.saturating_add(self.limits.running_ms),
            },
        };
        if !self.has_room(&claim.key, &record) {
            return KeyStatus::Full;
        }
        self.insert(claim.key, record);
        KeyStatus::Claimed
    }

    /// Records how an attempt ended; the first result stays, but for an
    /// answer, which takes the place of "unknown": it proves that the attempt
    /// ended, and the caller is better served with it.
    ///
    /// Returns whether this result is the one that was stored, and what
    /// stands for the key.
    ///
    /// ```
    /// # use ledger::*;
    /// # let mut ledger = Ledger::new(Limits::default());
    /// let key = CallKey::new("zdravko", "crew-9");
    /// let lost = CallOutcome::Unknown("the target was lost".into());
    /// assert_eq!(ledger.finish(&key, Attempt(1), lost, 0), (false, KeyStatus::Absent));
    /// ```
    pub fn finish(
        &mut self,
        key: &CallKey,
        attempt: Attempt,
        outcome: CallOutcome,
        now_ms: u64,
    ) -> (bool, KeyStatus) {
        self.expire(now_ms);
        let Some(record) = self.records.get(key) else {
            return (false, KeyStatus::Absent);
        };
        if record.holder.attempt != attempt || !record.takes(&outcome) {
            return (false, record.status());
        }
        self.end(key, outcome);
        (true, self.status(key))
    }

    /// Frees a key whose attempt was barred at its agent before it started.
    ///
    /// Only the attempt that holds the key frees it, and only while nothing
    /// is recorded: a late release of a former attempt must not free a key
    /// that another one has claimed since, or two would run.
    ///
    /// ```
    /// # use ledger::*;
    /// # let mut ledger = Ledger::new(Limits::default());
    /// let key = CallKey::new("zdravko", "crew-9");
    /// assert_eq!(ledger.release(&key, Attempt(1), 0), (false, KeyStatus::Absent));
    /// ```
    pub fn release(&mut self, key: &CallKey, attempt: Attempt, now_ms: u64) -> (bool, KeyStatus) {
        self.expire(now_ms);
        let Some(record) = self.records.get(key) else {
            return (false, KeyStatus::Absent);
        };
        let runs = matches!(record.state, State::Running { .. });
        if !runs || record.holder.attempt != attempt {
            return (false, record.status());
        }
        self.remove(key);
        (true, KeyStatus::Absent)
    }

    /// Frees the key of a call whose outcome is unknown, by the word of an
    /// operator who has made sure that it can't run any more. Returns the
    /// call, if there is one with this attempt.
    ///
    /// The attempt is named and not the key, so that a word given twice can't
    /// free a key that was claimed anew in between.
    ///
    /// ```
    /// # use ledger::*;
    /// let mut ledger = Ledger::new(Limits::default());
    /// assert_eq!(ledger.forget(Attempt(1), 0), None);
    /// ```
    pub fn forget(&mut self, attempt: Attempt, now_ms: u64) -> Option<CallKey> {
        self.expire(now_ms);
        let found = self.unproved().find(|call| call.holder.attempt == attempt);
        let key = found?.key.clone();
        self.remove(&key);
        Some(key)
    }

    /// Brings the ledger up to `now_ms`.
    ///
    /// ```
    /// # use ledger::*;
    /// let mut ledger = Ledger::new(Limits::default());
    /// ledger.expire(1_000);
    /// assert_eq!(ledger.now_ms(), 1_000);
    /// ```
    pub fn expire(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
        while let Some((due_ms, key)) = self.due.first() {
            if *due_ms > self.now_ms {
                break;
            }
            let key = key.clone();
            self.fall_due(&key);
        }
    }

    /// What stands for a key, without a change.
    ///
    /// ```
    /// # use ledger::*;
    /// let ledger = Ledger::new(Limits::default());
    /// assert_eq!(ledger.status(&CallKey::new("a", "k")), KeyStatus::Absent);
    /// ```
    #[must_use]
    pub fn status(&self, key: &CallKey) -> KeyStatus {
        self.records
            .get(key)
            .map_or(KeyStatus::Absent, Record::status)
    }

    /// The calls of which nobody proved that they ended, in the order of
    /// their keys.
    ///
    /// ```
    /// # use ledger::*;
    /// assert_eq!(Ledger::new(Limits::default()).unproved().count(), 0);
    /// ```
    pub fn unproved(&self) -> impl Iterator<Item = UnprovedCall<'_>> {
        self.records
            .iter()
            .filter_map(|(key, record)| match &record.state {
                State::Unproved { reason, since_ms } => Some(UnprovedCall {
                    key,
                    holder: &record.holder,
                    reason,
                    since_ms: *since_ms,
                }),
                State::Running { .. } | State::Ended { .. } => None,
            })
    }

    /// Number of claims that may run.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Number of calls of which nobody proved that they ended.
    #[must_use]
    pub fn unproved_len(&self) -> usize {
        self.unproved
    }

    /// The latest time seen, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of all records, room for the answers of running claims included.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// The bounds of this ledger.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Puts other bounds in force; records keep the times that they have.
    ///
    /// ```
    /// # use ledger::*;
    /// let mut ledger = Ledger::new(Limits::default());
    /// ledger.set_limits(Limits { max_unproved: 9, ..Limits::default() });
    /// assert_eq!(ledger.limits().max_unproved, 9);
    /// ```
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let sizes = self.records.iter().map(|(k, r)| self.size_of(k, r));
        self.bytes = sizes.sum();
    }

    pub(crate) fn records(&self) -> &BTreeMap<CallKey, Record> {
        &self.records
    }

    pub(crate) fn restore(limits: Limits, now_ms: u64) -> Self {
        Ledger {
            now_ms,
            ..Ledger::new(limits)
        }
    }

    pub(crate) fn insert(&mut self, key: CallKey, record: Record) {
        self.bytes += self.size_of(&key, &record);
        if let Some(due_ms) = record.state.due_ms() {
            self.due.insert((due_ms, key.clone()));
        }
        match record.state {
            State::Running { .. } => self.running += 1,
            State::Unproved { .. } => self.unproved += 1,
            State::Ended { .. } => {}
        }
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &CallKey) -> Option<Record> {
        let record = self.records.remove(key)?;
        self.bytes -= self.size_of(key, &record);
        if let Some(due_ms) = record.state.due_ms() {
            self.due.remove(&(due_ms, key.clone()));
        }
        match record.state {
            State::Running { .. } => self.running -= 1,
            State::Unproved { .. } => self.unproved -= 1,
            State::Ended { .. } => {}
        }
        Some(record)
    }

    fn end(&mut self, key: &CallKey, outcome: CallOutcome) {
        let Some(mut record) = self.remove(key) else {
            return;
        };
        let limits = &self.limits;
        record.state = ended(
            outcome,
            limits.max_answer_bytes,
            self.now_ms,
            limits.keep_ms,
        );
        self.insert(key.clone(), record);
    }

    /// A running claim whose attempt was never reported on may have run, or
    /// may run yet, so it isn't freed here: a resend would run it a second
    /// time.
    fn fall_due(&mut self, key: &CallKey) {
        let Some(mut record) = self.remove(key) else {
            return;
        };
        if let State::Running { until_ms } = record.state {
            record.state = State::Unproved {
                reason: OUTLIVED.into(),
                since_ms: until_ms,
            };
            self.insert(key.clone(), record);
        }
    }

    fn size_of(&self, key: &CallKey, record: &Record) -> usize {
        2 * key.size() + record.size(self.limits.max_answer_bytes)
    }

    /// Each claim that runs may turn out never to be proved over, so it needs
    /// its place among those from the start.
    fn has_room(&self, key: &CallKey, record: &Record) -> bool {
        self.running + self.unproved < self.limits.max_unproved
            && self.records.len() < self.limits.max_records
            && self.bytes + self.size_of(key, record) <= self.limits.max_bytes
    }
}

fn status_for(record: &Record, claim: &Claim) -> KeyStatus {
    if record.digest != claim.digest {
        return KeyStatus::Mismatch;
    }
    let runs = matches!(record.state, State::Running { .. });
    if runs && record.holder.attempt == claim.attempt {
        return KeyStatus::Claimed;
    }
    record.status()
}
