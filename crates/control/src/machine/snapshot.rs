//! The whole state as bytes.

use super::Machine;
use bytes::Bytes;
use expert::Decisions;
use eyre::Result;
use ledger::Ledger;
use note::History;
use prost::Message;
use route::Quarantine;
use wire::proto::DurableState;

impl Machine {
    /// The whole state, the same bytes for the same state.
    ///
    /// ```
    /// let machine = control::Machine::default();
    /// let copy = control::Machine::from_bytes(machine.to_bytes()).unwrap();
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
            drained: self.drained.iter().cloned().collect(),
            route_table: (self.route_table.number > 0).then(|| self.route_table.clone()),
        };
        state.encode_to_vec().into()
    }

    /// Reads what [`Machine::to_bytes`] wrote; no bytes are the first state.
    ///
    /// # Errors
    ///
    /// The bytes are no such state; the message names the part.
    ///
    /// ```
    /// assert!(control::Machine::from_bytes("no state".into()).is_err());
    /// ```
    pub fn from_bytes(bytes: Bytes) -> Result<Machine> {
        if bytes.is_empty() {
            return Ok(Machine::default());
        }
        let state = DurableState::decode(bytes)?;
        Ok(Machine {
            now_ms: state.now_ms,
            history: History::from_json(&state.notes)?,
            ledger: Ledger::from_slice(&state.ledger)?,
            quarantine: Quarantine::from_json(&state.quarantine)?,
            decisions: Decisions::from_bytes(state.maps)?,
            drained: state.drained.into_iter().collect(),
            route_table: state.route_table.unwrap_or_default(),
        })
    }
}
