//! Entries, a leader and the callers of one account.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{
    AccountDemand, AccountLimiter, AccountLimits, FULL_QUOTA, QuotaAllocator, QuotaGrant,
    QuotaUsage,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(10);
const RUN: Duration = Duration::from_mins(1);
/// Let go by before anything is counted.
const WARM: Duration = Duration::from_secs(10);
const RENEW: Duration = Duration::from_millis(500);
const LEASE: Duration = Duration::from_secs(3);
const ANSWER: Duration = Duration::from_millis(20);
/// Answers lost, of a thousand.
const LOST: u32 = 20;
const ACCOUNT: u32 = 7;
const REQUESTS_PER_S: f64 = 200.0;
const WINDOW: Duration = Duration::from_secs(2);
/// A bucket holds two seconds' worth, and as much comes in the window.
const ALLOWED_IN_WINDOW: f64 = REQUESTS_PER_S * 4.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    OwnPart,
    Exchange,
}

/// Where callers go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Callers {
    OneEntry,
    Moving,
    All,
    /// All to one entry, to the next one each second.
    Bursts,
}

struct Entry {
    ration: AccountLimiter,
    usage: AccountDemand,
    granted: Option<(u32, Instant)>,
    sequence: u64,
    next: Instant,
    answer: Option<(Instant, Vec<QuotaGrant>, Instant)>,
}

pub struct World {
    began: Instant,
    entries: Vec<Entry>,
    exchange: QuotaAllocator,
    sharing: Sharing,
    rng: SmallRng,
}

fn limits(part: f64) -> AccountLimits {
    AccountLimits {
        requests_per_s: REQUESTS_PER_S * part,
        ..AccountLimits::default()
    }
}

impl World {
    pub fn new(count: usize, sharing: Sharing) -> World {
        let mut rng = SmallRng::seed_from_u64(11);
        let began = Instant::now();
        let own = 1.0 / count as f64;
        let entries = (0..count).map(|_| Entry {
            ration: AccountLimiter::new(limits(own), began),
            usage: AccountDemand::default(),
            granted: None,
            sequence: 0,
            next: began + RENEW.mul_f64(rng.random_range(0.0..1.0)),
            answer: None,
        });
        World {
            began,
            entries: entries.collect(),
            exchange: QuotaAllocator::new(began, LEASE),
            sharing,
            rng: SmallRng::seed_from_u64(12),
        }
    }

    /// Requests let in, of those that the limit allows, and the most in any window, of what
    /// the limit and its burst allow; both in percent.
    pub fn run(&mut self, callers: Callers, load: f64) -> (f64, f64) {
        let (mut now, mut owed, mut let_in) = (self.began, 0.0, 0_usize);
        let mut window: VecDeque<Instant> = VecDeque::new();
        let mut most = 0;
        while now < self.began + RUN {
            now += STEP;
            self.renew_all(now);
            owed += load * REQUESTS_PER_S * STEP.as_secs_f64();
            while owed >= 1.0 {
                owed -= 1.0;
                let place = self.place(now, callers);
                let entry = &mut self.entries[place];
                entry.usage.record(now, 0, 0);
                let counted = now >= self.began + WARM;
                if entry.ration.acquire(now, 0).is_ok() {
                    entry.ration.release(0, 0);
                    let_in += usize::from(counted);
                    window.push_back(now);
                }
            }
            while window.front().is_some_and(|at| now > *at + WINDOW) {
                window.pop_front();
            }
            if now >= self.began + WARM {
                most = most.max(window.len());
            }
        }
        let allowed = REQUESTS_PER_S * (RUN.saturating_sub(WARM)).as_secs_f64();
        (
            100.0 * let_in as f64 / allowed,
            100.0 * most as f64 / ALLOWED_IN_WINDOW,
        )
    }

    fn place(&mut self, now: Instant, callers: Callers) -> usize {
        let count = self.entries.len();
        let since = now.saturating_duration_since(self.began);
        let turn = |period: u64| usize::try_from(since.as_secs() / period).unwrap() % count;
        match callers {
            Callers::OneEntry => 0,
            Callers::Moving => turn(10),
            Callers::All => self.rng.random_range(0..count),
            Callers::Bursts => turn(1),
        }
    }

    fn renew_all(&mut self, now: Instant) {
        let own = 1.0 / self.entries.len() as f64;
        if self.sharing == Sharing::OwnPart {
            return;
        }
        for (key, entry) in self.entries.iter_mut().enumerate() {
            if let Some((_, parts, until)) = entry.answer.take_if(|(at, _, _)| now >= *at) {
                entry.granted = parts
                    .first()
                    .map(|row| (row.share, until))
                    .or(entry.granted);
            }
            entry.granted = entry.granted.filter(|(_, until)| now < *until);
            let part = entry.granted.map_or(0, |(part, _)| part);
            let limits = limits(f64::max(f64::from(part) / f64::from(FULL_QUOTA), own));
            if *entry.ration.limits() != limits {
                entry.ration.set_limits(limits, now);
            }
            if now < entry.next {
                continue;
            }
            entry.next = now + RENEW;
            let demand = entry.usage.quota_demand(now, &self::limits(1.0));
            if demand == 0 && part == 0 {
                continue;
            }
            entry.sequence += 1;
            let used = QuotaUsage {
                account: ACCOUNT,
                demand,
                held: part,
            };
            let parts = self
                .exchange
                .report(key as u64, entry.sequence, &[used], now);
            let lost = self.rng.random_range(0..1000) < LOST;
            entry.answer = (!lost).then_some((now + ANSWER, parts, now + LEASE));
        }
    }
}
