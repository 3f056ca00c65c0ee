//! Renewals through relays in an availability zone, with a real control replica.

mod batch;
mod lost;
mod zone;
