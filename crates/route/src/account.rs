//! One client account inside admission.

use std::collections::VecDeque;
use std::time::Instant;

use crate::{AccountLimits, Rate, Reason, Refusal, TicketKey};

#[derive(Debug)]
pub(crate) struct Account {
    pub(crate) limits: AccountLimits,
    pub(crate) running: u32,
    /// Waiting requests, in the order of arrival within each priority.
    pub(crate) waiting: VecDeque<TicketKey>,
    /// Virtual time at which its last request's share of tokens is used up.
    pub(crate) finish: f64,
    requests: Rate,
    tokens: Rate,
}

impl Account {
    pub(crate) fn new(limits: AccountLimits, now: Instant) -> Self {
        Account {
            limits,
            running: 0,
            waiting: VecDeque::new(),
            finish: 0.0,
            requests: Rate::new(limits.requests_per_s, now),
            tokens: Rate::new(limits.tokens_per_s, now),
        }
    }

    pub(crate) fn set_limits(&mut self, limits: AccountLimits, now: Instant) {
        self.requests.set(limits.requests_per_s, now);
        self.tokens.set(limits.tokens_per_s, now);
        self.limits = limits;
    }

    /// Takes a request's part of both rates, or neither.
    pub(crate) fn take(&mut self, now: Instant, tokens: u32) -> Result<(), Refusal> {
        let tokens = f64::from(tokens);
        let refused = |reason| {
            move |retry_after| Refusal {
                reason,
                retry_after,
            }
        };
        self.requests
            .check(now, 1.0)
            .map_err(refused(Reason::RequestRate))?;
        self.tokens
            .check(now, tokens)
            .map_err(refused(Reason::TokenRate))?;
        self.requests.charge(1.0);
        self.tokens.charge(tokens);
        Ok(())
    }

    pub(crate) fn refund(&mut self, tokens: u32) {
        self.requests.refund(1.0);
        self.tokens.refund(f64::from(tokens));
    }

    /// Charges or gives back what the estimate of a request's tokens missed.
    pub(crate) fn settle(&mut self, estimated: u32, used: u32) {
        if used > estimated {
            self.tokens.charge(f64::from(used - estimated));
        } else {
            self.tokens.refund(f64::from(estimated - used));
        }
    }

    /// Requests of it that are let in, running or waiting.
    pub(crate) fn present(&self) -> usize {
        self.waiting.len() + self.running as usize
    }

    pub(crate) fn may_run(&self) -> bool {
        self.limits.concurrent == 0 || self.running < self.limits.concurrent
    }

    pub(crate) fn weight(&self) -> f64 {
        self.limits.share.max(1e-6)
    }
}
