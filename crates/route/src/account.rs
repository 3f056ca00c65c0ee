//! Per-account state of admission.

use std::collections::VecDeque;
use std::time::Instant;

use crate::{AccountLimiter, AccountLimits, TicketKey};

#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) limiter: AccountLimiter,
    pub(crate) running: u32,
    /// Queued requests by priority, in order of arrival within each priority.
    pub(crate) waiting: VecDeque<TicketKey>,
    /// Virtual finish time of the last admitted request.
    pub(crate) virtual_finish: f64,
}

impl Account {
    pub(crate) fn new(limits: AccountLimits, now: Instant) -> Self {
        Account {
            limiter: AccountLimiter::new(limits, now),
            running: 0,
            waiting: VecDeque::new(),
            virtual_finish: 0.0,
        }
    }

    pub(crate) fn may_run(&self) -> bool {
        let concurrent = self.limiter.limits().concurrent;
        concurrent == 0 || self.running < concurrent
    }

    /// Whether one more request may run or wait. As many requests may wait as
    /// may run, so that a burst is smoothed rather than refused.
    pub(crate) fn may_wait(&self) -> bool {
        let concurrent = self.limiter.limits().concurrent as usize;
        concurrent == 0 || self.waiting.len() + (self.running as usize) < 2 * concurrent
    }

    pub(crate) fn weight(&self) -> f64 {
        self.limiter.limits().share.max(1e-6)
    }
}
