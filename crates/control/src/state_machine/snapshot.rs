//! Serialisation of the whole state.

use super::StateMachine;
use crate::withdrawn::Withdrawn;
use bytes::Bytes;
use expert::Decisions;
use eyre::Result;
use ledger::Ledger;
use note::History;
use prost::Message;
use route::{CrashTally, Quarantine};
use wire::proto::DurableState;

impl StateMachine {
    /// Serialises the whole state. Equal states give equal bytes.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// let copy = control::StateMachine::from_bytes(machine.to_bytes()).unwrap();
    /// assert_eq!(copy, machine);
    /// ```
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        let state = DurableState {
            now_ms: self.now_ms,
            notes: self.history.to_json().into(),
            ledger: self.ledger.to_bytes().into(),
            quarantine: self.quarantine.to_json().into(),
            maps: self.decisions.to_bytes(),
            drained: self.withdrawn.targets.iter().cloned().collect(),
            route_table: (self.route_table.number > 0).then(|| self.route_table.clone()),
            evacuations: (self.evacuation_changes > 0).then(|| self.evacuations()),
            crash_tally: self.crash_tally.to_json().into(),
            agent_crash_tally: self.agent_crash_tally.to_json().into(),
        };
        state.encode_to_vec().into()
    }

    /// Parses the output of [`StateMachine::to_bytes`]. Empty input gives the
    /// initial state.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid state; the message names the invalid part.
    ///
    /// ```
    /// assert!(control::StateMachine::from_bytes("no state".into()).is_err());
    /// ```
    pub fn from_bytes(bytes: Bytes) -> Result<StateMachine> {
        if bytes.is_empty() {
            return Ok(StateMachine::default());
        }
        let state = DurableState::decode(bytes)?;
        let evacuations = state.evacuations.unwrap_or_default();
        Ok(StateMachine {
            now_ms: state.now_ms,
            history: History::from_json(&state.notes)?,
            ledger: Ledger::from_slice(&state.ledger)?,
            quarantine: Quarantine::from_json(&state.quarantine)?,
            crash_tally: CrashTally::from_json(&state.crash_tally)?,
            agent_crash_tally: CrashTally::from_json(&state.agent_crash_tally)?,
            decisions: Decisions::from_bytes(state.maps)?,
            withdrawn: Withdrawn {
                targets: state.drained.into_iter().collect(),
                zones: evacuations.zones.into_iter().collect(),
            },
            evacuation_changes: evacuations.number,
            route_table: state.route_table.unwrap_or_default(),
        })
    }
}
