//! Renewals through other nodes of an availability zone, before a real control replica.

mod batch;
mod lost;
mod zone;
