//! Estimated state of one target of a pool.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::attempt::Attempt;
use crate::cache_estimate::CacheEstimate;
use crate::ejection::Ejection;
use crate::rank::Rank;
use crate::{
    AttemptKey, ConcurrencyLimit, PlacementRequest, PoolSettings, StartState, Suspicion,
    TargetLoadReport, TargetStatus,
};
use member::hash_bytes;

/// Weight of a new observation in a moving average.
const SMOOTHING: f64 = 0.1;
/// Limit on the ratio of observed to expected time, and on its reciprocal.
const MAX_TIME_RATIO: f64 = 16.0;
/// An answer that takes this many times longer than expected counts as overload.
const LATE_FACTOR: f64 = 4.0;
/// Minimum expected time in that comparison, in seconds. Below it, an answer that
/// takes several times longer is still not late.
const LATE_MIN_EXPECTED: f64 = 0.1;
/// Fraction of the full load that a cold target starts with.
const SLOW_START_MIN: f64 = 0.1;

/// One target of a pool, as known to this entry.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) name_hash: u64,
    pub(crate) status: TargetStatus,
    pub(crate) ejection: Ejection,
    pub(crate) cache: CacheEstimate,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) own_running: u32,
    pub(crate) own_suspects: u32,
    /// This entry's share of the target's capacity, in (0, 1].
    pub(crate) share: f64,
    /// Network delay, in seconds.
    distance: f64,
    ranks: Vec<Rank>,
    /// When the current incarnation was added or restarted.
    started_at: Instant,
    start_state: StartState,
    /// Time of measurement of the last report.
    reported_at: Option<Instant>,
    /// Requests queued at the target according to the last report.
    queued: f64,
    /// Ratio of observed to expected time to the first token, a moving average.
    time_ratio: f64,
    /// Time that an attempt occupies a slot in seconds, a moving average.
    slot_seconds: f64,
    /// Attempts of this entry without a first token, oldest first.
    waiting: BTreeSet<(Instant, AttemptKey)>,
}

/// The best rank for a request, and the expected time to the first token there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) rank: u32,
    pub(crate) seconds: f64,
}

impl Target {
    pub(crate) fn new(
        name: &str,
        distance: Duration,
        now: Instant,
        settings: &PoolSettings,
    ) -> Self {
        Target {
            name: name.to_owned(),
            name_hash: hash_bytes(name.bytes()),
            status: TargetStatus::Unavailable,
            ejection: Ejection::default(),
            cache: CacheEstimate::default(),
            limit: ConcurrencyLimit::new(settings.initial_limit),
            own_running: 0,
            own_suspects: 0,
            share: settings.share,
            distance: distance.as_secs_f64(),
            ranks: vec![Rank::default()],
            started_at: now,
            start_state: StartState::Cold,
            reported_at: None,
            queued: 0.0,
            time_ratio: 1.0,
            slot_seconds: 1.0,
            waiting: BTreeSet::new(),
        }
    }

    /// Marks the target as warm, so that it is given full load at once.
    pub(crate) fn set_warm(&mut self) {
        self.start_state = StartState::Warm;
    }

    /// Resets what was learned about the previous incarnation.
    pub(crate) fn restart(&mut self, now: Instant, settings: &PoolSettings) {
        self.ejection = Ejection::default();
        self.cache = CacheEstimate::default();
        self.limit = ConcurrencyLimit::new(settings.initial_limit);
        self.ranks = vec![Rank::default()];
        self.own_running = 0;
        self.own_suspects = 0;
        self.waiting.clear();
        self.started_at = now;
        self.start_state = StartState::Cold;
        self.reported_at = None;
        self.queued = 0.0;
        self.time_ratio = 1.0;
    }

    pub(crate) fn apply_report(&mut self, report: &TargetLoadReport) {
        if self.reported_at.is_some_and(|last| report.taken_at < last) {
            return;
        }
        self.reported_at = Some(report.taken_at);
        self.queued = f64::from(report.queued);
        let numbers: Vec<u32> = report.ranks.iter().map(|load| load.rank).collect();
        self.set_ranks(&numbers);
        for load in &report.ranks {
            if let Some(rank) = self.rank_mut(load.rank) {
                rank.apply_report(*load, report.taken_at);
            }
        }
        if report.limit > 0 {
            self.limit.set_ceiling(f64::from(report.limit));
        }
    }

    /// Sets which ranks the target has and keeps the state of existing ones. A rank
    /// that the target does not have must be removed, since it would look idle and
    /// be chosen.
    pub(crate) fn set_ranks(&mut self, numbers: &[u32]) {
        if numbers.is_empty() {
            return;
        }
        self.ranks
            .retain(|rank| numbers.contains(&rank.report.rank));
        for number in numbers {
            if self.rank_mut(*number).is_none() {
                self.ranks.push(Rank::new(*number));
            }
        }
    }

    fn rank_mut(&mut self, number: u32) -> Option<&mut Rank> {
        self.ranks
            .iter_mut()
            .find(|rank| rank.report.rank == number)
    }

    /// Estimates the best rank for the request and the time to the first token there.
    pub(crate) fn estimate(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        settings: &PoolSettings,
    ) -> Estimate {
        let cached = self.cache.cached(request.prefix);
        let tokens = f64::from(request.tokens.saturating_sub(cached).max(1));
        let seconds = |rank: &Rank| self.prefill_seconds(rank, tokens, settings);
        let best = self
            .ranks
            .iter()
            .map(|rank| (rank.report.rank, seconds(rank)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        let (rank, prefill) = best.unwrap_or((0, 0.0));
        let service_time = (prefill + self.slot_wait_seconds()) * self.time_ratio
            / self.ramp_up_factor(now, settings);
        Estimate {
            rank,
            seconds: self.distance + service_time + self.overdue_seconds(now, service_time),
        }
    }

    /// Time of the steps until the first token, in seconds. Running requests and
    /// used KV cache lengthen the decode steps of a rank, and the slowest rank
    /// determines those of the whole group.
    fn prefill_seconds(&self, rank: &Rank, tokens: f64, settings: &PoolSettings) -> f64 {
        let step = if rank.report.step.is_zero() {
            settings.default_step.as_secs_f64()
        } else {
            rank.report.step.as_secs_f64()
        };
        let queued = rank.queued(self.share);
        let running = rank.running(self.share);
        let kv = f64::from(rank.report.kv_used_permille) / 1000.0;
        let load = running / self.limit.current().max(1.0);
        step * (1.0 + (queued + tokens) * settings.steps_per_token + load + kv)
    }

    /// Time until a slot is free in seconds, if there are more requests than slots.
    fn slot_wait_seconds(&self) -> f64 {
        let slots = self.limit.current();
        let excess = self.running() + 1.0 - slots;
        if excess > 0.0 {
            excess * self.slot_seconds / slots
        } else {
            0.0
        }
    }

    /// Estimated number of requests that run or wait at the target.
    fn running(&self) -> f64 {
        let ranks = self.ranks.iter();
        let running: f64 = ranks.map(|rank| rank.running(self.share)).sum();
        running + self.queued
    }

    /// How far the oldest waiting attempt exceeds twice the expected time, in
    /// seconds. The last reports of a stalled target still look good until they
    /// stop arriving; an attempt without a first token reveals the stall sooner.
    fn overdue_seconds(&self, now: Instant, expected: f64) -> f64 {
        let oldest = self.waiting.first();
        oldest.map_or(0.0, |(started, _)| {
            let waited = now.saturating_duration_since(*started).as_secs_f64();
            (waited - 2.0 * expected).max(0.0)
        })
    }

    /// Fraction of the full load that the target is given, in (0, 1].
    pub(crate) fn ramp_up_factor(&self, now: Instant, settings: &PoolSettings) -> f64 {
        let age = now.saturating_duration_since(self.started_at);
        if self.start_state == StartState::Warm || age >= settings.slow_start {
            return 1.0;
        }
        (age.as_secs_f64() / settings.slow_start.as_secs_f64()).max(SLOW_START_MIN)
    }

    /// Number of additional requests that this entry may send.
    ///
    /// The entries share the target's limit. Each may always use its own share,
    /// and beyond that what others leave unused according to the reports.
    pub(crate) fn room(&self, now: Instant, settings: &PoolSettings) -> f64 {
        let limit = self.limit.current() * settings.overcommit * self.ramp_up_factor(now, settings);
        let own = f64::from(self.own_running);
        let own_share = (limit * self.share).floor().max(1.0);
        let unused = limit - self.running();
        (own_share - own).max(unused.floor()).max(0.0)
    }

    /// Ratio of this entry's requests to its own share of the slots.
    pub(crate) fn utilization(&self) -> f64 {
        f64::from(self.own_running) / (self.limit.current() * self.share).max(1.0)
    }

    pub(crate) fn started(
        &mut self,
        now: Instant,
        key: AttemptKey,
        rank: u32,
        request: &PlacementRequest<'_>,
    ) {
        self.own_running += 1;
        if request.suspicion == Suspicion::Suspect {
            self.own_suspects += 1;
        }
        self.waiting.insert((now, key));
        self.cache.record_sent(request.prefix);
        if let Some(rank) = self.rank_mut(rank) {
            rank.started(now, request.tokens);
        }
    }

    /// Records the first token of an attempt, and compares its time with the
    /// expected one.
    pub(crate) fn answer_started(&mut self, now: Instant, attempt: &Attempt) {
        self.prefilled(now, attempt);
        let waited = now.saturating_duration_since(attempt.started).as_secs_f64();
        let service_time = (waited - self.distance).max(0.0);
        let expected = (attempt.expected - self.distance).max(1e-4);
        let observed = self.time_ratio * service_time / expected;
        let ratio = self.time_ratio + SMOOTHING * (observed - self.time_ratio);
        self.time_ratio = ratio.clamp(1.0 / MAX_TIME_RATIO, MAX_TIME_RATIO);
        let running = self.running();
        if service_time > LATE_FACTOR * expected.max(LATE_MIN_EXPECTED)
            && running > self.limit.current() / 2.0
        {
            self.limit.on_overload();
        } else {
            self.limit.on_success(running);
        }
    }

    pub(crate) fn prefilled(&mut self, now: Instant, attempt: &Attempt) {
        self.waiting.remove(&(attempt.started, attempt.key));
        if let Some(rank) = self.rank_mut(attempt.rank) {
            rank.prefilled(now, attempt.tokens);
        }
    }

    pub(crate) fn ended(&mut self, now: Instant, attempt: &Attempt) {
        if attempt.first_token_at.is_none() {
            self.prefilled(now, attempt);
        }
        self.own_running = self.own_running.saturating_sub(1);
        if attempt.suspicion == Suspicion::Suspect {
            self.own_suspects = self.own_suspects.saturating_sub(1);
        }
        if let Some(rank) = self.rank_mut(attempt.rank) {
            rank.ended(now);
        }
    }

    /// Start of the current incarnation, which distinguishes its attempts from those
    /// of previous ones.
    pub(crate) fn incarnation_start(&self) -> Instant {
        self.started_at
    }

    /// Records how long an attempt occupied its slot.
    pub(crate) fn record_hold(&mut self, time: Duration) {
        self.slot_seconds += SMOOTHING * (time.as_secs_f64() - self.slot_seconds);
    }
}
