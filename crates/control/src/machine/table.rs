//! The route table.

use super::Machine;
use wire::proto::{RouteTable, RouteTableOutcome};

impl Machine {
    /// Takes a table with a higher number; any other changes nothing, so that
    /// one that was sent again, or was overtaken, is answered alike.
    pub(super) fn take_route_table(&mut self, table: RouteTable) -> RouteTableOutcome {
        if table.number > self.route_table.number {
            self.route_table = table;
        }
        RouteTableOutcome {
            newest: self.route_table.number,
        }
    }

    /// The route table with the highest number that was accepted; number 0 is
    /// none.
    ///
    /// ```
    /// let machine = control::Machine::default();
    /// assert_eq!(machine.route_table().number, 0);
    /// ```
    #[must_use]
    pub fn route_table(&self) -> &RouteTable {
        &self.route_table
    }
}
