//! Availability zones that operators evacuate.

use super::StateMachine;
use wire::proto::{Evacuate, EvacuationOutcome, Evacuations};

impl StateMachine {
    /// Starts or finishes the evacuation of a zone. An order that is already carried out
    /// changes nothing, so an order that is resent gets the same answer.
    pub(super) fn evacuate(&mut self, order: Evacuate) -> EvacuationOutcome {
        let changed = if order.active {
            self.withdrawn.zones.insert(order.zone)
        } else {
            self.withdrawn.zones.remove(&order.zone)
        };
        self.evacuation_changes += u64::from(changed);
        EvacuationOutcome {
            known: true,
            evacuations: Some(self.evacuations()),
            outdated: false,
        }
    }

    /// Whether an order would change other evacuations than those that it was given against.
    ///
    /// ```
    /// use wire::proto::Evacuate;
    ///
    /// let machine = control::StateMachine::default();
    /// let order = Evacuate { zone: "celje".into(), active: true, seen: Some(3) };
    /// assert!(machine.is_outdated(&order));
    /// let repeated = Evacuate { active: false, ..order };
    /// assert!(!machine.is_outdated(&repeated));
    /// ```
    #[must_use]
    pub fn is_outdated(&self, order: &Evacuate) -> bool {
        let changes = self.withdrawn.zones.contains(&order.zone) != order.active;
        changes
            && order
                .seen
                .is_some_and(|seen| seen != self.evacuation_changes)
    }

    /// Returns the zones that are evacuated, numbered by how often they have changed.
    ///
    /// ```
    /// use wire::proto::{Command, Evacuate, command::Body};
    ///
    /// let mut machine = control::StateMachine::default();
    /// let order = Evacuate { zone: "celje".into(), active: true, seen: None };
    /// for _ in 0..2 {
    ///     machine.apply(Command { now_ms: 0, body: Some(Body::Evacuate(order.clone())) });
    /// }
    /// assert_eq!(machine.evacuations().number, 1);
    /// assert_eq!(machine.evacuations().zones, ["celje"]);
    /// ```
    #[must_use]
    pub fn evacuations(&self) -> Evacuations {
        Evacuations {
            number: self.evacuation_changes,
            zones: self.withdrawn.zones.iter().cloned().collect(),
        }
    }
}
