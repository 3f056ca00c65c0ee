//! The state machine.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Record, bounded};
use crate::{Attempt, CallKey, Claim, Claimed, Holder, Limits, Verdict};

/// Reason of a claim whose attempt was never reported on.
const OUTLIVED: &str = "nothing was heard of the attempt in time";

/// At most one attempt for each key, bounded in number, bytes and time.
///
/// Each call first brings the ledger up to `now_ms`: claims that run for too
/// long become unknown, records that have been kept long enough go. A time
/// before the latest one seen counts as the latest one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ledger {
    limits: Limits,
    now_ms: u64,
    bytes: usize,
    records: BTreeMap<CallKey, Record>,
    /// The same keys by the time at which something falls due.
    due: BTreeSet<(u64, CallKey)>,
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
    /// assert_eq!(ledger.claim(claim.clone(), 0), Claimed::Claimed);
    /// let other = Claim { digest: Digest([1; 32]), ..claim };
    /// assert_eq!(ledger.claim(other, 0), Claimed::Mismatch);
    /// ```
    pub fn claim(&mut self, claim: Claim, now_ms: u64) -> Claimed {
        self.expire(now_ms);
        if let Some(record) = self.records.get(&claim.key) {
            return standing_for(record, &claim);
        }
        let record = Record {
            digest: claim.digest,
            holder: Holder {
                attempt: claim.attempt,
                target: claim.target,
                incarnation: claim.incarnation,
            },
            due_ms: self.now_ms.saturating_add(self.limits.running_ms),
            verdict: None,
        };
        if !self.has_room(&claim.key, &record) {
            return Claimed::Full;
        }
        self.insert(claim.key, record);
        Claimed::Claimed
    }

    /// Records how an attempt ended; the first result stays.
    ///
    /// Returns whether this result is the one that was stored, and what
    /// stands for the key.
    ///
    /// ```
    /// # use ledger::*;
    /// # let mut ledger = Ledger::new(Limits::default());
    /// let key = CallKey::new("zdravko", "crew-9");
    /// let lost = Verdict::Unknown("the target was lost".into());
    /// assert_eq!(ledger.finish(&key, Attempt(1), lost, 0), (false, Claimed::Absent));
    /// ```
    pub fn finish(
        &mut self,
        key: &CallKey,
        attempt: Attempt,
        verdict: Verdict,
        now_ms: u64,
    ) -> (bool, Claimed) {
        self.expire(now_ms);
        let Some(record) = self.records.get(key) else {
            return (false, Claimed::Absent);
        };
        if record.verdict.is_some() || record.holder.attempt != attempt {
            return (false, record.standing());
        }
        self.end(key, bounded(verdict, self.limits.max_answer));
        (true, self.standing(key))
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
    /// assert_eq!(ledger.release(&key, Attempt(1), 0), (false, Claimed::Absent));
    /// ```
    pub fn release(&mut self, key: &CallKey, attempt: Attempt, now_ms: u64) -> (bool, Claimed) {
        self.expire(now_ms);
        let Some(record) = self.records.get(key) else {
            return (false, Claimed::Absent);
        };
        if record.verdict.is_some() || record.holder.attempt != attempt {
            return (false, record.standing());
        }
        self.remove(key);
        (true, Claimed::Absent)
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
    /// assert_eq!(ledger.standing(&CallKey::new("a", "k")), Claimed::Absent);
    /// ```
    #[must_use]
    pub fn standing(&self, key: &CallKey) -> Claimed {
        self.records
            .get(key)
            .map_or(Claimed::Absent, Record::standing)
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
        self.due.insert((record.due_ms, key.clone()));
        self.records.insert(key, record);
    }

    fn remove(&mut self, key: &CallKey) -> Option<Record> {
        let record = self.records.remove(key)?;
        self.bytes -= self.size_of(key, &record);
        self.due.remove(&(record.due_ms, key.clone()));
        Some(record)
    }

    fn end(&mut self, key: &CallKey, verdict: Verdict) {
        let Some(mut record) = self.remove(key) else {
            return;
        };
        record.verdict = Some(verdict);
        record.due_ms = self.now_ms.saturating_add(self.limits.keep_ms);
        self.insert(key.clone(), record);
    }

    /// A running claim whose attempt was never reported on may have run, so
    /// it is never freed here: a resend would run it a second time.
    fn fall_due(&mut self, key: &CallKey) {
        let Some(mut record) = self.remove(key) else {
            return;
        };
        if record.verdict.is_some() {
            return;
        }
        record.verdict = Some(Verdict::Unknown(OUTLIVED.into()));
        let ended_ms = record.due_ms;
        record.due_ms = ended_ms
            .saturating_add(self.limits.keep_ms)
            .max(self.now_ms.saturating_add(1));
        self.insert(key.clone(), record);
    }

    fn size_of(&self, key: &CallKey, record: &Record) -> usize {
        2 * key.size() + record.size(self.limits.max_answer)
    }

    fn has_room(&self, key: &CallKey, record: &Record) -> bool {
        self.records.len() < self.limits.max_records
            && self.bytes + self.size_of(key, record) <= self.limits.max_bytes
    }
}

fn standing_for(record: &Record, claim: &Claim) -> Claimed {
    if record.digest != claim.digest {
        return Claimed::Mismatch;
    }
    if record.verdict.is_none() && record.holder.attempt == claim.attempt {
        return Claimed::Claimed;
    }
    record.standing()
}
