//! The ledger state machine.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Record, State, ended_state};
use crate::{Attempt, CallKey, CallOutcome, Claim, Holder, KeyStatus, Limits, UnprovedCall};

/// Reason stored for a claim whose attempt was not reported in time.
const NO_RESULT_IN_TIME: &str = "nothing was heard of the attempt in time";

/// Record of at most one attempt per key, bounded in number, bytes and time.
///
/// Each operation first advances the ledger to `now_ms`: claims that have been
/// running for too long become unknown, and records of ended calls expire after
/// their retention time. A time before the latest one seen is treated as the
/// latest one. Records of calls not proved to have ended never expire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    limits: Limits,
    now_ms: u64,
    bytes: usize,
    records: BTreeMap<CallKey, Record>,
    /// Keys ordered by the time at which their record is due.
    due: BTreeSet<(u64, CallKey)>,
    /// Number of running records, maintained because each claim needs it.
    running: usize,
    /// Number of unproved records, maintained because each claim needs it.
    unproved: usize,
}

impl Ledger {
    /// Creates an empty ledger.
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
    /// While an attempt runs, a claim by the same attempt is granted again, so
    /// that an entry that lost the reply can retry. An agent starts an attempt
    /// at most once.
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
            return claim_status(record, &claim);
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

    /// Records the outcome of an attempt. The first outcome is kept, except
    /// that an answer replaces an unknown outcome, because it proves that the
    /// attempt ended and is more useful to the caller.
    ///
    /// Returns whether this outcome was stored, and the status of the key.
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
        if record.holder.attempt != attempt || !record.accepts(&outcome) {
            return (false, record.status());
        }
        self.record_outcome(key, outcome);
        (true, self.status(key))
    }

    /// Frees a key whose attempt was barred at its agent before it started.
    /// Returns whether the key was freed, and the status of the key.
    ///
    /// Only the attempt that holds the key can free it, and only while it has
    /// no outcome. A delayed release of a former attempt must not free a key
    /// that another attempt has claimed since, or two attempts could run.
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
        let running = matches!(record.state, State::Running { .. });
        if !running || record.holder.attempt != attempt {
            return (false, record.status());
        }
        self.remove(key);
        (true, KeyStatus::Absent)
    }

    /// Frees the key of a call whose outcome is unknown, on request of an
    /// operator who has made sure that it can no longer run. Returns the key,
    /// if there is an unproved call with this attempt.
    ///
    /// The call is identified by its attempt and not by its key, so that a
    /// repeated request cannot free a key that was claimed again in between.
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

    /// Advances the ledger to `now_ms` and processes all due records.
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
            self.expire_key(&key);
        }
    }

    /// Returns the status of a key without changing the ledger.
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

    /// Returns the calls that are not proved to have ended, ordered by key.
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

    /// Returns the number of claims that may be running.
    #[must_use]
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of calls that are not proved to have ended.
    #[must_use]
    pub fn unproved_len(&self) -> usize {
        self.unproved
    }

    /// Returns the latest time seen, in milliseconds.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of all records in bytes, including the space reserved
    /// for the answers of running claims.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the limits of this ledger.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Replaces the limits. Existing records keep their times.
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

    fn record_outcome(&mut self, key: &CallKey, outcome: CallOutcome) {
        let Some(mut record) = self.remove(key) else {
            return;
        };
        let limits = &self.limits;
        record.state = ended_state(
            outcome,
            limits.max_answer_bytes,
            self.now_ms,
            limits.keep_ms,
        );
        self.insert(key.clone(), record);
    }

    /// Processes a due record: an ended call is removed, and a running claim
    /// becomes unproved. The attempt of such a claim may have run or may still
    /// run, so its key is not freed; a resend could run the call a second time.
    fn expire_key(&mut self, key: &CallKey) {
        let Some(mut record) = self.remove(key) else {
            return;
        };
        if let State::Running { until_ms } = record.state {
            record.state = State::Unproved {
                reason: NO_RESULT_IN_TIME.into(),
                since_ms: until_ms,
            };
            self.insert(key.clone(), record);
        }
    }

    fn size_of(&self, key: &CallKey, record: &Record) -> usize {
        2 * key.size() + record.size(self.limits.max_answer_bytes)
    }

    /// Returns whether the record fits within the limits. Any running claim may
    /// remain unproved, so running claims count towards `max_unproved`.
    fn has_room(&self, key: &CallKey, record: &Record) -> bool {
        self.running + self.unproved < self.limits.max_unproved
            && self.records.len() < self.limits.max_records
            && self.bytes + self.size_of(key, record) <= self.limits.max_bytes
    }
}

fn claim_status(record: &Record, claim: &Claim) -> KeyStatus {
    if record.digest != claim.digest {
        return KeyStatus::Mismatch;
    }
    let running = matches!(record.state, State::Running { .. });
    if running && record.holder.attempt == claim.attempt {
        return KeyStatus::Claimed;
    }
    record.status()
}
