//! Admission permit, released on drop.

use std::sync::Arc;

use route::TicketKey;

use super::Placement;
use crate::job::Job;
use crate::pool_name::PoolName;

/// An admitted request's permit. It is released on drop, however the request ends, and
/// its capacity goes to the next request. Leaked capacity would be lost until a
/// restart.
#[derive(Debug)]
pub(crate) struct Permit {
    placement: Arc<Placement>,
    account: String,
    pool: PoolName,
    ticket: TicketKey,
    estimated: u32,
    used: u32,
}

impl Permit {
    pub(super) fn new(placement: Arc<Placement>, job: &Job, ticket: TicketKey) -> Self {
        Permit {
            placement,
            account: job.account.clone(),
            pool: job.pool.clone(),
            ticket,
            estimated: job.tokens,
            used: 0,
        }
    }

    /// Records the number of tokens that the request has used so far.
    pub(crate) fn set_used(&mut self, tokens: u32) {
        self.used = self.used.max(tokens);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut inner = self.placement.lock();
        inner.release(
            &self.account,
            &self.pool,
            self.ticket,
            self.estimated,
            self.used,
        );
    }
}
