//! The permission to run, given back when dropped.

use std::sync::Arc;

use route::TicketKey;

use super::Placement;
use crate::job::Job;
use crate::pool_name::PoolName;

/// A request's place in admission. Dropping it, in whatever way the request
/// ends, gives the place to the next one; a place that leaked would be lost
/// to all callers until a restart.
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

    /// Notes the tokens that the request used, as far as known.
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
