//! The route table.

use super::StateMachine;
use wire::proto::{RouteTable, RouteTableOutcome};

impl StateMachine {
    /// Replaces the table if the new one has a higher number. Any other table
    /// changes nothing, so a table that is resent or superseded gets the same
    /// answer.
    pub(super) fn replace_route_table(&mut self, table: RouteTable) -> RouteTableOutcome {
        if table.number > self.route_table.number {
            self.route_table = table;
        }
        RouteTableOutcome {
            newest: self.route_table.number,
        }
    }

    /// Returns the accepted route table with the highest number; number 0 means
    /// that none was accepted yet.
    ///
    /// ```
    /// let machine = control::StateMachine::default();
    /// assert_eq!(machine.route_table().number, 0);
    /// ```
    #[must_use]
    pub fn route_table(&self) -> &RouteTable {
        &self.route_table
    }
}
