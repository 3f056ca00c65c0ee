//! Simulation of entries, a leader and the callers of one account.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{
    AccountDemand, AccountLimiter, AccountLimits, FULL_QUOTA, QuotaAllocator, QuotaGrant,
    QuotaUsage,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
const DURATION: Duration = Duration::from_mins(1);
/// Time at the start that is not counted.
const WARM_UP: Duration = Duration::from_secs(10);
/// Time between two reports of an entry.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const LEASE: Duration = Duration::from_secs(3);
/// Delay of the answer to a report.
const ANSWER_DELAY: Duration = Duration::from_millis(20);
/// Lost answers per thousand.
const LOST_PER_MILLE: u32 = 20;
const ACCOUNT: u32 = 7;
const REQUESTS_PER_S: f64 = 200.0;
const WINDOW: Duration = Duration::from_secs(2);
/// A bucket holds two seconds' worth, and the same amount is refilled within the window.
const ALLOWED_IN_WINDOW: f64 = REQUESTS_PER_S * 4.0;

/// How the limits of an account are divided between entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// Each entry has a fixed equal share.
    OwnPart,
    /// A leader allocates shares by demand.
    Exchange,
}

/// Which entries the callers use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    OneEntry,
    /// One entry at a time, the next one every 10 s.
    Moving,
    All,
    /// One entry at a time, the next one every second.
    Bursts,
}

struct Entry {
    limiter: AccountLimiter,
    demand: AccountDemand,
    /// Granted share, and the end of its lease.
    granted: Option<(u32, Instant)>,
    sequence: u64,
    next_report: Instant,
    /// Time of arrival of the next answer, its grants, and the end of their lease.
    answer: Option<(Instant, Vec<QuotaGrant>, Instant)>,
}

pub struct Simulation {
    start: Instant,
    entries: Vec<Entry>,
    allocator: QuotaAllocator,
    sharing: Sharing,
    rng: SmallRng,
}

/// Limits of the account, scaled to a share.
fn limits(share: f64) -> AccountLimits {
    AccountLimits {
        requests_per_s: REQUESTS_PER_S * share,
        ..AccountLimits::default()
    }
}

impl Simulation {
    pub fn new(count: usize, sharing: Sharing) -> Simulation {
        let mut rng = SmallRng::seed_from_u64(11);
        let start = Instant::now();
        let own_share = 1.0 / count as f64;
        let entries = (0..count).map(|_| Entry {
            limiter: AccountLimiter::new(limits(own_share), start),
            demand: AccountDemand::default(),
            granted: None,
            sequence: 0,
            next_report: start + REPORT_INTERVAL.mul_f64(rng.random_range(0.0..1.0)),
            answer: None,
        });
        Simulation {
            start,
            entries: entries.collect(),
            allocator: QuotaAllocator::new(start, LEASE),
            sharing,
            rng: SmallRng::seed_from_u64(12),
        }
    }

    /// Runs the simulation and returns two percentages: admitted requests relative to the
    /// limit, and the maximum in any window relative to the limit with its burst.
    pub fn run(&mut self, callers: Callers, load: f64) -> (f64, f64) {
        let (mut now, mut due, mut admitted) = (self.start, 0.0, 0_usize);
        let mut window: VecDeque<Instant> = VecDeque::new();
        let mut max_in_window = 0;
        while now < self.start + DURATION {
            now += STEP;
            self.report_all(now);
            due += load * REQUESTS_PER_S * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let index = self.choose_entry(now, callers);
                let entry = &mut self.entries[index];
                entry.demand.record(now, 0, 0);
                let is_counted = now >= self.start + WARM_UP;
                if entry.limiter.acquire(now, 0).is_ok() {
                    entry.limiter.release(0, 0);
                    admitted += usize::from(is_counted);
                    window.push_back(now);
                }
            }
            while window.front().is_some_and(|at| now > *at + WINDOW) {
                window.pop_front();
            }
            if now >= self.start + WARM_UP {
                max_in_window = max_in_window.max(window.len());
            }
        }
        let allowed = REQUESTS_PER_S * (DURATION.saturating_sub(WARM_UP)).as_secs_f64();
        (
            100.0 * admitted as f64 / allowed,
            100.0 * max_in_window as f64 / ALLOWED_IN_WINDOW,
        )
    }

    fn choose_entry(&mut self, now: Instant, callers: Callers) -> usize {
        let count = self.entries.len();
        let elapsed = now.saturating_duration_since(self.start);
        let turn = |period: u64| usize::try_from(elapsed.as_secs() / period).unwrap() % count;
        match callers {
            Callers::OneEntry => 0,
            Callers::Moving => turn(10),
            Callers::All => self.rng.random_range(0..count),
            Callers::Bursts => turn(1),
        }
    }

    fn report_all(&mut self, now: Instant) {
        let own_share = 1.0 / self.entries.len() as f64;
        if self.sharing == Sharing::OwnPart {
            return;
        }
        for (key, entry) in self.entries.iter_mut().enumerate() {
            if let Some((_, grants, until)) = entry.answer.take_if(|(at, _, _)| now >= *at) {
                entry.granted = grants
                    .first()
                    .map(|grant| (grant.share, until))
                    .or(entry.granted);
            }
            entry.granted = entry.granted.filter(|(_, until)| now < *until);
            let share = entry.granted.map_or(0, |(share, _)| share);
            let limits = limits(f64::max(
                f64::from(share) / f64::from(FULL_QUOTA),
                own_share,
            ));
            if *entry.limiter.limits() != limits {
                entry.limiter.set_limits(limits, now);
            }
            if now < entry.next_report {
                continue;
            }
            entry.next_report = now + REPORT_INTERVAL;
            let demand = entry.demand.quota_demand(now, &self::limits(1.0));
            if demand == 0 && share == 0 {
                continue;
            }
            entry.sequence += 1;
            let usage = QuotaUsage {
                account: ACCOUNT,
                demand,
                held: share,
            };
            let grants = self
                .allocator
                .report(key as u64, entry.sequence, &[usage], now);
            let lost = self.rng.random_range(0..1000) < LOST_PER_MILLE;
            entry.answer = (!lost).then_some((now + ANSWER_DELAY, grants, now + LEASE));
        }
    }
}
