//! Load-balancing policies.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{
    AccountKey, AccountLimits, Admission, AdmissionSettings, AttemptKey, AttemptResult, Choice,
    PlacementRequest, Pool, PoolSettings, Prefix, RankLoadReport, RetryBudget, StartState,
    TargetKey, TargetLoadReport, TargetStatus,
};

use crate::server::SLOTS;
use crate::traffic::{ACCOUNTS, ENTRIES, Request};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Random,
    RoundRobin,
    LeastOfTwo,
    Pool,
}

impl Policy {
    pub const ALL: [Policy; 4] = [
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOfTwo,
        Policy::Pool,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastOfTwo => "least of two",
            Policy::Pool => "ours",
        }
    }
}

/// Raw load report of a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct RawReport {
    /// Time of measurement, in seconds.
    pub taken_at: f64,
    pub running: u32,
    pub queued: u32,
    pub queued_tokens: u32,
    pub step: f64,
}

/// One entry with the state of its policy.
pub struct Entry {
    pub policy: Policy,
    pub pool: Pool,
    pub admission: Admission,
    pub budget: RetryBudget,
    pub accounts: Vec<AccountKey>,
    keys: Vec<TargetKey>,
    known_alive: Vec<bool>,
    reports: Vec<RawReport>,
    next: usize,
    rng: SmallRng,
    start: Instant,
}

/// The server chosen for an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Chosen {
    pub server: usize,
    choice: Option<Choice>,
}

impl Entry {
    pub fn new(policy: Policy, servers: usize, number: usize, start: Instant) -> Self {
        let settings = PoolSettings {
            share: 1.0 / f64::from(u32::try_from(ENTRIES).unwrap()),
            slow_start: Duration::from_secs(1),
            ..PoolSettings::default()
        };
        let mut pool = Pool::new(settings);
        let mut admission = Admission::new(AdmissionSettings::default());
        let keys = (0..servers).map(|i| {
            let key = pool.insert(
                &format!("t{i}"),
                Duration::from_millis(1),
                StartState::Cold,
                start,
            );
            pool.set_status(key, TargetStatus::Ready);
            key
        });
        let keys = keys.collect();
        let accounts = (0..ACCOUNTS).map(|_| admission.insert(AccountLimits::default(), start));
        let accounts = accounts.collect();
        Entry {
            policy,
            pool,
            admission,
            budget: RetryBudget::new(0.1, 10, start),
            accounts,
            keys,
            known_alive: vec![true; servers],
            reports: vec![RawReport::default(); servers],
            next: number,
            rng: SmallRng::seed_from_u64(number as u64),
            start,
        }
    }

    pub fn instant(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at)
    }

    pub fn report(&mut self, server: usize, raw: RawReport) {
        self.reports[server] = raw;
        let rank = RankLoadReport {
            rank: 0,
            running: raw.running,
            queued_tokens: raw.queued_tokens,
            kv_used_permille: 0,
            step: Duration::from_secs_f64(raw.step),
        };
        let report = TargetLoadReport {
            taken_at: self.instant(raw.taken_at),
            limit: SLOTS,
            queued: raw.queued,
            ranks: vec![rank],
        };
        self.pool.report(self.keys[server], &report);
    }

    pub fn remove_server(&mut self, server: usize) {
        self.known_alive[server] = false;
        self.pool
            .set_status(self.keys[server], TargetStatus::Unavailable);
    }

    /// Chooses a server for the request; `None` if none has room.
    pub fn choose(&mut self, now: f64, request: &Request, avoid: &[usize]) -> Option<Chosen> {
        if self.policy == Policy::Pool {
            return self.choose_from_pool(now, request, avoid);
        }
        let alive = (0..self.keys.len()).filter(|i| self.known_alive[*i]);
        let mut candidates: Vec<usize> = alive.clone().filter(|i| !avoid.contains(i)).collect();
        if candidates.is_empty() {
            candidates = alive.collect();
        }
        let count = candidates.len();
        let server = match self.policy {
            Policy::RoundRobin => {
                self.next += 1;
                candidates[self.next % count]
            }
            Policy::LeastOfTwo => {
                let a = candidates[self.rng.random_range(0..count)];
                let b = candidates[self.rng.random_range(0..count)];
                let load = |i: usize| self.reports[i].running + self.reports[i].queued;
                if load(a) <= load(b) { a } else { b }
            }
            Policy::Random | Policy::Pool => candidates[self.rng.random_range(0..count)],
        };
        Some(Chosen {
            server,
            choice: None,
        })
    }

    fn choose_from_pool(&mut self, now: f64, request: &Request, avoid: &[usize]) -> Option<Chosen> {
        let avoid: Vec<TargetKey> = avoid.iter().map(|i| self.keys[*i]).collect();
        let request = placement_request(request, &avoid);
        let now = self.instant(now);
        let choice = self.pool.choose(now, &request, &mut self.rng)?;
        let server = self.keys.iter().position(|key| *key == choice.target)?;
        Some(Chosen {
            server,
            choice: Some(choice),
        })
    }

    pub fn start(&mut self, now: f64, request: &Request, chosen: &Chosen) -> Option<AttemptKey> {
        let choice = chosen.choice?;
        let now = self.instant(now);
        Some(
            self.pool
                .start(now, &choice, &placement_request(request, &[])),
        )
    }

    pub fn answered(&mut self, now: f64, key: Option<AttemptKey>) {
        if let Some(key) = key {
            let now = self.instant(now);
            self.pool.answer_started(now, key);
        }
    }

    pub fn end(&mut self, now: f64, key: Option<AttemptKey>, result: AttemptResult) {
        if let Some(key) = key {
            let now = self.instant(now);
            self.pool.end(now, key, result);
        }
    }

    /// Whether a failed attempt may be retried.
    pub fn may_retry(&mut self, now: f64) -> bool {
        let now = self.instant(now);
        self.policy != Policy::Pool || self.budget.withdraw(now)
    }
}

fn placement_request<'a>(request: &Request, avoid: &'a [TargetKey]) -> PlacementRequest<'a> {
    PlacementRequest {
        prefix: request.prefix.map(|(hash, tokens)| Prefix { hash, tokens }),
        avoid,
        ..PlacementRequest::of_tokens(request.prompt)
    }
}
