//! One client account inside admission.

use std::collections::VecDeque;
use std::time::Instant;

use crate::{AccountLimiter, AccountLimits, TicketKey};

#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) ration: AccountLimiter,
    pub(crate) running: u32,
    /// Waiting requests, in the order of arrival within each priority.
    pub(crate) waiting: VecDeque<TicketKey>,
    /// Virtual time at which its last request's share of tokens is used up.
    pub(crate) finish: f64,
}

impl Account {
    pub(crate) fn new(limits: AccountLimits, now: Instant) -> Self {
        Account {
            ration: AccountLimiter::new(limits, now),
            running: 0,
            waiting: VecDeque::new(),
            finish: 0.0,
        }
    }

    pub(crate) fn may_run(&self) -> bool {
        let concurrent = self.ration.limits().concurrent;
        concurrent == 0 || self.running < concurrent
    }

    /// Whether one more may enter, running or waiting. As many as may run may
    /// also wait, so that a burst is smoothed and not lost.
    pub(crate) fn may_wait(&self) -> bool {
        let concurrent = self.ration.limits().concurrent as usize;
        concurrent == 0 || self.waiting.len() + (self.running as usize) < 2 * concurrent
    }

    pub(crate) fn weight(&self) -> f64 {
        self.ration.limits().share.max(1e-6)
    }
}
