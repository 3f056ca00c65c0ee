//! The durable record of which expert map each group runs on.

use crate::error::Code;
use crate::record::{DecisionsRecord, GroupStateRecord};
use crate::{DecideOutcome, Decision, Error, GroupState, Refusal, Result, Verdict};
use bytes::Bytes;
use prost::Message;
use std::collections::BTreeMap;

/// Format of the snapshot that this version writes and reads.
const FORMAT: u32 = 1;

/// The durable record of which expert map each group runs on.
///
/// Replicated: all methods are deterministic, so the replicas that apply the
/// same commands hold the same state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decisions {
    groups: BTreeMap<String, GroupState>,
}

impl Decisions {
    /// An empty record.
    ///
    /// ```
    /// assert_eq!(expert::Decisions::new().groups().count(), 0);
    /// ```
    #[must_use]
    pub fn new() -> Decisions {
        Decisions::default()
    }

    /// Opens a coordinator for `group` under a new fencing number, higher
    /// than any before it, and returns what stands.
    ///
    /// From here on no decision under an older number is taken. Opening
    /// twice, as after a lost answer, costs only a number.
    ///
    /// ```
    /// let mut decisions = expert::Decisions::new();
    /// let first = decisions.open_coordinator("g", "a", 1);
    /// let second = decisions.open_coordinator("g", "b", 9);
    /// assert!(second.fencing > first.fencing);
    /// ```
    pub fn open_coordinator(&mut self, group: &str, agent: &str, incarnation: u64) -> GroupState {
        let standing = self.groups.entry(group.to_owned()).or_default();
        standing.fencing += 1;
        agent.clone_into(&mut standing.agent);
        standing.incarnation = incarnation;
        standing.clone()
    }

    /// Decides the switch to the next version of the group's map.
    ///
    /// A decision that already stands is accepted again, also from a
    /// coordinator that has been superseded in the meantime: its answer was
    /// lost, and what it asks for is what holds.
    ///
    /// ```
    /// use expert::{Decision, Decisions, Verdict};
    ///
    /// let mut decisions = Decisions::new();
    /// let fencing = decisions.open_coordinator("g", "a", 1).fencing;
    /// let abort = Decision {
    ///     fencing,
    ///     version: 1,
    ///     barrier_step: 0,
    ///     verdict: Verdict::Abort,
    ///     map: bytes::Bytes::new(),
    /// };
    /// assert!(decisions.decide("g", abort.clone()).is_accepted());
    /// assert!(decisions.decide("g", abort).is_accepted());
    /// ```
    pub fn decide(&mut self, group: &str, decision: Decision) -> DecideOutcome {
        let Some(standing) = self.groups.get_mut(group) else {
            return DecideOutcome::Refused {
                refusal: Refusal::Fencing,
                current: None,
            };
        };
        if standing.current.as_ref() == Some(&decision) {
            return DecideOutcome::Accepted(decision);
        }
        if let Some(refusal) = refuse(standing, &decision) {
            return DecideOutcome::Refused {
                refusal,
                current: standing.current.clone(),
            };
        }
        standing.record(decision.clone());
        DecideOutcome::Accepted(decision)
    }

    /// What stands for `group`, if a coordinator was ever opened for it.
    ///
    /// ```
    /// assert!(expert::Decisions::new().group_state("g").is_none());
    /// ```
    #[must_use]
    pub fn group_state(&self, group: &str) -> Option<&GroupState> {
        self.groups.get(group)
    }

    /// All groups with what stands for them, in order of name.
    ///
    /// ```
    /// let mut decisions = expert::Decisions::new();
    /// decisions.open_coordinator("g", "a", 1);
    /// assert_eq!(decisions.groups().next().map(|(group, _)| group), Some("g"));
    /// ```
    pub fn groups(&self) -> impl Iterator<Item = (&str, &GroupState)> {
        self.groups
            .iter()
            .map(|(group, standing)| (group.as_str(), standing))
    }

    /// The snapshot, the same bytes for the same state.
    ///
    /// ```
    /// use expert::Decisions;
    ///
    /// let mut decisions = Decisions::new();
    /// decisions.open_coordinator("g", "a", 1);
    /// let restored = Decisions::from_bytes(decisions.to_bytes()).unwrap();
    /// assert_eq!(restored, decisions);
    /// ```
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let groups = self
            .groups
            .iter()
            .map(|(group, standing)| GroupStateRecord::new(group, standing))
            .collect();
        let record = DecisionsRecord {
            format: FORMAT,
            groups,
        };
        record.encode_to_vec().into()
    }

    /// Restores a snapshot.
    ///
    /// # Errors
    ///
    /// Fails on bytes that aren't a snapshot of this format.
    ///
    /// ```
    /// assert!(expert::Decisions::from_bytes(&b"\xff"[..]).is_err());
    /// ```
    pub fn from_bytes(buf: impl Into<Bytes>) -> Result<Decisions> {
        let record = DecisionsRecord::decode(buf.into())?;
        if record.format != FORMAT {
            return Err(Error::new(Code::Format(record.format)));
        }
        let mut groups = BTreeMap::new();
        for mut record in record.groups {
            let group = std::mem::take(&mut record.group);
            groups.insert(group, record.into_group_state());
        }
        Ok(Decisions { groups })
    }
}

/// Why `decision` can't follow what stands, if it can't.
fn refuse(standing: &GroupState, decision: &Decision) -> Option<Refusal> {
    // A coordinator that was cut off still believes that it leads. Its ranks
    // may have been released by the next one, so a late decision of it would
    // switch some ranks to a map that the others never staged.
    if decision.fencing != standing.fencing {
        return Some(Refusal::Fencing);
    }
    if decision.version != standing.next_version() {
        return Some(Refusal::Version);
    }
    if decision.verdict == Verdict::Abort {
        return None;
    }
    if decision.map.is_empty() {
        return Some(Refusal::NoMap);
    }
    // Steps that ran on one map would be told, after a restart, to have run
    // on another.
    let last = standing.committed.first();
    if last.is_some_and(|last| decision.barrier_step <= last.barrier_step) {
        return Some(Refusal::Barrier);
    }
    None
}
