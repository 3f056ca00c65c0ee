//! Durable record of the expert maps that groups run on.

use crate::error::Code;
use crate::record::{DecisionsRecord, GroupStateRecord};
use crate::{DecideOutcome, Decision, Error, GroupState, Refusal, Result, Verdict};
use bytes::Bytes;
use prost::Message;
use std::collections::BTreeMap;

/// Version of the snapshot encoding that is written and read.
const FORMAT: u32 = 1;

/// Durable record of the expert maps that groups run on.
///
/// This is a replicated state machine: all methods are deterministic, so that
/// replicas that apply the same commands hold the same state.
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

    /// Opens a coordinator for `group` under a new fencing number, higher than
    /// all previous ones, and returns the state of the group.
    ///
    /// From then on, new decisions under an older number are refused. Opening
    /// again, for instance after a lost reply, only uses up another number.
    ///
    /// ```
    /// let mut decisions = expert::Decisions::new();
    /// let first = decisions.open_coordinator("g", "a", 1);
    /// let second = decisions.open_coordinator("g", "b", 9);
    /// assert!(second.fencing > first.fencing);
    /// ```
    pub fn open_coordinator(&mut self, group: &str, agent: &str, incarnation: u64) -> GroupState {
        let state = self.groups.entry(group.to_owned()).or_default();
        state.fencing += 1;
        agent.clone_into(&mut state.agent);
        state.incarnation = incarnation;
        state.clone()
    }

    /// Decides on the switch to the next version of the group's map.
    ///
    /// Proposing the latest decision again is accepted, even from a coordinator
    /// that has been superseded in the meantime: the reply was lost, and the
    /// proposed decision is in effect.
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
        let Some(state) = self.groups.get_mut(group) else {
            return DecideOutcome::Refused {
                refusal: Refusal::Fencing,
                current: None,
            };
        };
        if state.current.as_ref() == Some(&decision) {
            return DecideOutcome::Accepted(decision);
        }
        if let Some(refusal) = check(state, &decision) {
            return DecideOutcome::Refused {
                refusal,
                current: state.current.clone(),
            };
        }
        state.record(decision.clone());
        DecideOutcome::Accepted(decision)
    }

    /// The state of `group`, if a coordinator was ever opened for it.
    ///
    /// ```
    /// assert!(expert::Decisions::new().group_state("g").is_none());
    /// ```
    #[must_use]
    pub fn group_state(&self, group: &str) -> Option<&GroupState> {
        self.groups.get(group)
    }

    /// All groups with their state, in the order of their names.
    ///
    /// ```
    /// let mut decisions = expert::Decisions::new();
    /// decisions.open_coordinator("g", "a", 1);
    /// assert_eq!(decisions.groups().next().map(|(group, _)| group), Some("g"));
    /// ```
    pub fn groups(&self) -> impl Iterator<Item = (&str, &GroupState)> {
        self.groups
            .iter()
            .map(|(group, state)| (group.as_str(), state))
    }

    /// Encodes a snapshot; equal states have the same encoding.
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
            .map(|(group, state)| GroupStateRecord::new(group, state))
            .collect();
        let record = DecisionsRecord {
            format: FORMAT,
            groups,
        };
        record.encode_to_vec().into()
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't a snapshot in this format.
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

/// The reason to refuse `decision` in the state of its group, if any.
fn check(state: &GroupState, decision: &Decision) -> Option<Refusal> {
    // A partitioned coordinator may be unaware that it has been superseded. The
    // next coordinator may have released the ranks that it held, so a late
    // decision would switch some ranks to a map that others haven't staged.
    if decision.fencing != state.fencing {
        return Some(Refusal::Fencing);
    }
    if decision.version != state.next_version() {
        return Some(Refusal::Version);
    }
    if decision.verdict == Verdict::Abort {
        return None;
    }
    if decision.map.is_empty() {
        return Some(Refusal::NoMap);
    }
    // Otherwise steps that have run on one map would be assigned to another
    // map, which a restarted rank would learn.
    let last = state.committed.first();
    if last.is_some_and(|last| decision.barrier_step <= last.barrier_step) {
        return Some(Refusal::Barrier);
    }
    None
}
