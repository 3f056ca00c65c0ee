//! The process beside each target: gate, buffers, orders.
