//! Expert maps: load estimate, planner, switch protocol.
