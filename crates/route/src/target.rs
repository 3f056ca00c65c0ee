//! One target of a pool, as this entry sees it.

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
/// Observed by expected time is kept within this factor either way.
const FACTOR_MAX: f64 = 16.0;
/// An answer this many times later than expected counts as overload.
const LATE: f64 = 4.0;
/// Expected times below this are too short to call an answer late by them.
const LATE_FLOOR: f64 = 0.1;
/// Part of the full load that a fresh target starts with.
const SLOW_START_FLOOR: f64 = 0.1;

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) name: String,
    pub(crate) name_hash: u64,
    pub(crate) standing: TargetStatus,
    pub(crate) ejection: Ejection,
    pub(crate) cache: CacheEstimate,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) own_running: u32,
    pub(crate) own_suspects: u32,
    /// This entry's part of what the target runs, in (0, 1].
    pub(crate) share: f64,
    distance: f64,
    ranks: Vec<Rank>,
    since: Instant,
    arrival: StartState,
    reported: Option<Instant>,
    /// Requests that waited for a place when the last report was taken.
    queued: f64,
    /// Observed by expected time to first token, a moving average.
    factor: f64,
    /// Time that an attempt holds its place, a moving average in seconds.
    hold: f64,
    /// Own attempts without a first token, oldest first.
    waiting: BTreeSet<(Instant, AttemptKey)>,
}

/// The rank that suits a request best, and the expected seconds there.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Estimate {
    pub(crate) rank: u32,
    pub(crate) seconds: f64,
}

impl Target {
    pub(crate) fn new(name: &str, distance: Duration, now: Instant, tuning: &PoolSettings) -> Self {
        Target {
            name: name.to_owned(),
            name_hash: hash_bytes(name.bytes()),
            standing: TargetStatus::Unavailable,
            ejection: Ejection::default(),
            cache: CacheEstimate::default(),
            limit: ConcurrencyLimit::new(tuning.initial_limit),
            own_running: 0,
            own_suspects: 0,
            share: tuning.share,
            distance: distance.as_secs_f64(),
            ranks: vec![Rank::default()],
            since: now,
            arrival: StartState::Cold,
            reported: None,
            queued: 0.0,
            factor: 1.0,
            hold: 1.0,
            waiting: BTreeSet::new(),
        }
    }

    /// A target that has run for long already.
    pub(crate) fn set_warm(&mut self) {
        self.arrival = StartState::Warm;
    }

    /// Forgets what was learnt of the former incarnation.
    pub(crate) fn restart(&mut self, now: Instant, tuning: &PoolSettings) {
        self.ejection = Ejection::default();
        self.cache = CacheEstimate::default();
        self.limit = ConcurrencyLimit::new(tuning.initial_limit);
        self.ranks = vec![Rank::default()];
        self.own_running = 0;
        self.own_suspects = 0;
        self.waiting.clear();
        self.since = now;
        self.arrival = StartState::Cold;
        self.reported = None;
        self.queued = 0.0;
        self.factor = 1.0;
    }

    pub(crate) fn report(&mut self, report: &TargetLoadReport) {
        if self.reported.is_some_and(|last| report.taken_at < last) {
            return;
        }
        self.reported = Some(report.taken_at);
        self.queued = f64::from(report.queued);
        let numbers: Vec<u32> = report.ranks.iter().map(|row| row.rank).collect();
        self.set_ranks(&numbers);
        for row in &report.ranks {
            if let Some(rank) = self.rank_mut(row.rank) {
                rank.apply_report(*row, report.taken_at);
            }
        }
        if report.limit > 0 {
            self.limit.set_ceiling(f64::from(report.limit));
        }
    }

    /// Sets which ranks the target has, and keeps what is known of those that
    /// stay. One that it doesn't have would look idle and be chosen.
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

    /// The best rank for the request and the time to first token there.
    pub(crate) fn estimate(
        &self,
        now: Instant,
        demand: &PlacementRequest<'_>,
        tuning: &PoolSettings,
    ) -> Estimate {
        let cached = self.cache.cached(demand.prefix);
        let tokens = f64::from(demand.tokens.saturating_sub(cached).max(1));
        let seconds = |rank: &Rank| self.prefill_seconds(rank, tokens, tuning);
        let best = self
            .ranks
            .iter()
            .map(|rank| (rank.report.rank, seconds(rank)))
            .min_by(|a, b| a.1.total_cmp(&b.1));
        let (rank, prefill) = best.unwrap_or((0, 0.0));
        let served = (prefill + self.place_seconds()) * self.factor / self.warmth(now, tuning);
        Estimate {
            rank,
            seconds: self.distance + served + self.overdue_seconds(now, served),
        }
    }

    /// Steps until the first token, in seconds. KV in use and running
    /// requests lengthen the rank's decode steps, and through the slowest
    /// rank those of the whole group.
    fn prefill_seconds(&self, rank: &Rank, tokens: f64, tuning: &PoolSettings) -> f64 {
        let step = if rank.report.step.is_zero() {
            tuning.default_step.as_secs_f64()
        } else {
            rank.report.step.as_secs_f64()
        };
        let queued = rank.queued(self.share);
        let running = rank.running(self.share);
        let kv = f64::from(rank.report.kv_used_permille) / 1000.0;
        let load = running / self.limit.current().max(1.0);
        step * (1.0 + (queued + tokens) * tuning.steps_per_token + load + kv)
    }

    /// Time until a place is free, when more wait than there are places.
    fn place_seconds(&self) -> f64 {
        let places = self.limit.current();
        let excess = self.running() + 1.0 - places;
        if excess > 0.0 {
            excess * self.hold / places
        } else {
            0.0
        }
    }

    /// Requests that run or wait at the target, as estimated.
    fn running(&self) -> f64 {
        let ranks = self.ranks.iter();
        let running: f64 = ranks.map(|rank| rank.running(self.share)).sum();
        running + self.queued
    }

    /// How long past its expected first token the oldest waiting attempt is.
    /// Reports of a target that stalled stay good until they stop coming; an
    /// attempt without its first token tells sooner.
    fn overdue_seconds(&self, now: Instant, expected: f64) -> f64 {
        let oldest = self.waiting.first();
        oldest.map_or(0.0, |(started, _)| {
            let waited = now.saturating_duration_since(*started).as_secs_f64();
            (waited - 2.0 * expected).max(0.0)
        })
    }

    /// How much of its full load the target is given, in (0, 1].
    pub(crate) fn warmth(&self, now: Instant, tuning: &PoolSettings) -> f64 {
        let age = now.saturating_duration_since(self.since);
        if self.arrival == StartState::Warm || age >= tuning.slow_start {
            return 1.0;
        }
        (age.as_secs_f64() / tuning.slow_start.as_secs_f64()).max(SLOW_START_FLOOR)
    }

    /// How many more requests this entry may send.
    ///
    /// The entries share the target's limit. Each may always use its own
    /// part; beyond that it may use what the others leave, as far as the
    /// reports tell.
    pub(crate) fn room(&self, now: Instant, tuning: &PoolSettings) -> f64 {
        let limit = self.limit.current() * tuning.overcommit * self.warmth(now, tuning);
        let own = f64::from(self.own_running);
        let part = (limit * self.share).floor().max(1.0);
        let left = limit - self.running();
        (part - own).max(left.floor()).max(0.0)
    }

    /// Requests of this entry for each place of its own part.
    pub(crate) fn fill(&self) -> f64 {
        f64::from(self.own_running) / (self.limit.current() * self.share).max(1.0)
    }

    pub(crate) fn started(
        &mut self,
        now: Instant,
        key: AttemptKey,
        rank: u32,
        demand: &PlacementRequest<'_>,
    ) {
        self.own_running += 1;
        if demand.suspicion == Suspicion::Suspect {
            self.own_suspects += 1;
        }
        self.waiting.insert((now, key));
        self.cache.record_sent(demand.prefix);
        if let Some(rank) = self.rank_mut(rank) {
            rank.started(now, demand.tokens);
        }
    }

    /// Takes the time of a first token, against what was expected.
    pub(crate) fn answered(&mut self, now: Instant, place: &Attempt) {
        self.prefilled(now, place);
        let waited = now.saturating_duration_since(place.started).as_secs_f64();
        let served = (waited - self.distance).max(0.0);
        let expected = (place.expected - self.distance).max(1e-4);
        let observed = self.factor * served / expected;
        let factor = self.factor + SMOOTHING * (observed - self.factor);
        self.factor = factor.clamp(1.0 / FACTOR_MAX, FACTOR_MAX);
        let running = self.running();
        if served > LATE * expected.max(LATE_FLOOR) && running > self.limit.current() / 2.0 {
            self.limit.on_overload();
        } else {
            self.limit.on_success(running);
        }
    }

    pub(crate) fn prefilled(&mut self, now: Instant, place: &Attempt) {
        self.waiting.remove(&(place.started, place.key));
        if let Some(rank) = self.rank_mut(place.rank) {
            rank.prefilled(now, place.tokens);
        }
    }

    pub(crate) fn ended(&mut self, now: Instant, place: &Attempt) {
        if place.first_token_at.is_none() {
            self.prefilled(now, place);
        }
        self.own_running = self.own_running.saturating_sub(1);
        if place.suspicion == Suspicion::Suspect {
            self.own_suspects = self.own_suspects.saturating_sub(1);
        }
        if let Some(rank) = self.rank_mut(place.rank) {
            rank.ended(now);
        }
    }

    /// The time of the present incarnation's arrival, which tells attempts of
    /// a former one apart.
    pub(crate) fn arrived(&self) -> Instant {
        self.since
    }

    pub(crate) fn held(&mut self, time: Duration) {
        self.hold += SMOOTHING * (time.as_secs_f64() - self.hold);
    }
}
