//! The targets of one model group or service, and the choice among them.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use slotmap::SlotMap;

use crate::affinity::Affinity;
use crate::attempt::Attempt;
use crate::target::{Estimate, Target};
use crate::{
    AttemptKey, AttemptResult, Capacity, Choice, PlacementRequest, PoolSettings, StartState,
    Suspicion, TargetKey, TargetLoadReport, TargetStatus,
};

/// The targets that one kind of request may be sent to.
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use route::{StartState, PlacementRequest, Pool, TargetStatus, PoolSettings};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut pool = Pool::new(PoolSettings::default());
/// let key = pool.insert("advisor-01", Duration::from_millis(1), StartState::Warm, now);
/// pool.set_status(key, TargetStatus::Ready);
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let demand = PlacementRequest::of_tokens(300);
/// let choice = pool.choose(now, &demand, &mut rng).expect("a target is ready");
/// let attempt = pool.start(now, &choice, &demand);
/// pool.answer_started(now + Duration::from_millis(50), attempt);
/// pool.end(now + Duration::from_secs(1), attempt, route::AttemptResult::Completed);
/// assert_eq!(pool.running(key), 0);
/// ```
#[derive(Debug)]
pub struct Pool {
    tuning: PoolSettings,
    targets: SlotMap<TargetKey, Target>,
    ready: Vec<TargetKey>,
    affinity: Affinity,
    attempts: SlotMap<AttemptKey, Attempt>,
}

/// Fewest targets that must stay when others are ejected.
const KEPT: usize = 1;
/// Least part of a target that an entry may be given.
const LEAST_SHARE: f64 = 1e-3;

impl Pool {
    /// A pool without targets.
    #[must_use]
    pub fn new(tuning: PoolSettings) -> Self {
        Pool {
            tuning,
            targets: SlotMap::with_key(),
            ready: Vec::new(),
            affinity: Affinity::default(),
            attempts: SlotMap::with_key(),
        }
    }

    /// Adds a target at a network distance; it is absent until its standing
    /// is set.
    pub fn insert(
        &mut self,
        name: &str,
        distance: Duration,
        arrival: StartState,
        now: Instant,
    ) -> TargetKey {
        let mut target = Target::new(name, distance, now, &self.tuning);
        if arrival == StartState::Warm {
            target.set_warm();
        }
        self.targets.insert(target)
    }

    /// Sets which ranks a target has; load reports say so too.
    pub fn set_ranks(&mut self, key: TargetKey, ranks: &[u32]) {
        if let Some(target) = self.targets.get_mut(key) {
            target.set_ranks(ranks);
        }
    }

    /// Takes a target out for good.
    pub fn remove(&mut self, key: TargetKey) {
        self.targets.remove(key);
        self.attempts.retain(|_, place| place.target != key);
        self.rebuild();
    }

    /// Changes whether the target may be given new work.
    pub fn set_status(&mut self, key: TargetKey, standing: TargetStatus) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if target.standing != standing {
            target.standing = standing;
            self.rebuild();
        }
    }

    /// The target came back as a new incarnation: what ran is gone, and it
    /// is brought up to load slowly.
    pub fn restarted(&mut self, now: Instant, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.restart(now, &self.tuning);
            self.attempts.retain(|_, place| place.target != key);
        }
    }

    /// Changes this entry's part of what a target runs: one over the number of
    /// entries that send it work. They differ from target to target where each
    /// entry keeps links to some of them only.
    pub fn set_share(&mut self, key: TargetKey, share: f64) {
        if let Some(target) = self.targets.get_mut(key) {
            target.share = share.clamp(LEAST_SHARE, 1.0);
        }
    }

    /// Takes a load report. One older than the last is dropped.
    pub fn report(&mut self, key: TargetKey, report: &TargetLoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.report(report);
        }
    }

    /// Takes a target's cache events; a gap in the sequence forgets the rest.
    pub fn cache_events(&mut self, key: TargetKey, sequence: u64, stored: &[u64], gone: &[u64]) {
        if let Some(target) = self.targets.get_mut(key) {
            target.cache.apply_events(sequence, stored, gone);
        }
    }

    /// Targets that may be given new work.
    #[must_use]
    pub fn ready(&self) -> &[TargetKey] {
        &self.ready
    }

    /// The name of a target.
    #[must_use]
    pub fn name(&self, key: TargetKey) -> Option<&str> {
        self.targets.get(key).map(|target| target.name.as_str())
    }

    /// Own attempts that run on a target.
    #[must_use]
    pub fn running(&self, key: TargetKey) -> u32 {
        self.targets.get(key).map_or(0, |target| target.own_running)
    }

    /// Places for requests on all ready targets. This looks at each of them.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> Capacity {
        let ready = self.ready.iter().filter_map(|key| self.targets.get(*key));
        let ready = ready.filter(|target| !target.ejection.is_active(now));
        let mut places = Capacity::default();
        for target in ready {
            let limit = target.limit.current() * target.warmth(now, &self.tuning);
            places.total += limit;
            places.overcommit += limit * (self.tuning.overcommit - 1.0);
            places.own_share += limit * target.share;
            places.usable += f64::from(target.own_running) + target.room(now, &self.tuning);
        }
        places
    }

    /// Chooses target and rank by the least expected time to first token
    /// among a few sampled targets and the one that the prefix belongs to.
    ///
    /// `None` when no ready target has room.
    pub fn choose(
        &self,
        now: Instant,
        demand: &PlacementRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let best = self.best_of_sample(now, demand, rng);
        let best = best.or_else(|| self.best_of(now, demand, self.ready.iter().copied()));
        best.map(|(target, estimate)| Choice {
            target,
            rank: estimate.rank,
            expected: Duration::try_from_secs_f64(estimate.seconds).unwrap_or(Duration::MAX),
        })
    }

    /// Registers an attempt at the chosen place.
    pub fn start(
        &mut self,
        now: Instant,
        choice: &Choice,
        demand: &PlacementRequest<'_>,
    ) -> AttemptKey {
        let Some(target) = self.targets.get_mut(choice.target) else {
            return AttemptKey::default();
        };
        let incarnation = target.arrived();
        let key = self.attempts.insert_with_key(|key| Attempt {
            key,
            target: choice.target,
            incarnation,
            rank: choice.rank,
            tokens: demand.tokens,
            suspicion: demand.suspicion,
            started: now,
            expected: choice.expected.as_secs_f64(),
            first_token_at: None,
        });
        target.started(now, key, choice.rank, demand);
        key
    }

    /// The first token or byte of the attempt's answer has arrived.
    pub fn answer_started(&mut self, now: Instant, attempt: AttemptKey) {
        let Some(place) = self.attempts.get_mut(attempt) else {
            return;
        };
        if place.first_token_at.is_some() {
            return;
        }
        if let Some(target) = self.targets.get_mut(place.target) {
            target.answered(now, place);
        }
        place.first_token_at = Some(now);
    }

    /// The attempt has ended.
    pub fn end(&mut self, now: Instant, attempt: AttemptKey, ending: AttemptResult) {
        let Some(place) = self.attempts.remove(attempt) else {
            return;
        };
        let Some(target) = self.targets.get_mut(place.target) else {
            return;
        };
        if place.incarnation != target.arrived() {
            return;
        }
        target.ended(now, &place);
        match ending {
            AttemptResult::Completed => {
                target.ejection.record_success();
                target.held(now.saturating_duration_since(place.started));
            }
            AttemptResult::Full => target.limit.on_overload(),
            AttemptResult::Failed => self.failed(now, place.target),
            AttemptResult::Cancelled => {}
        }
    }

    fn failed(&mut self, now: Instant, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let due = target.ejection.record_failure(&self.tuning);
        if due && self.may_eject(now) {
            let target = &mut self.targets[key];
            target.ejection.eject(now, &self.tuning);
        }
    }

    /// Whether one more target may be left out: a fault of the network near
    /// the entry looks like a fault of each target, and ejecting them all
    /// would turn a disturbance into an outage.
    fn may_eject(&self, now: Instant) -> bool {
        let ready = self.ready.iter().filter_map(|key| self.targets.get(*key));
        let ejected = ready.filter(|target| target.ejection.is_active(now));
        let ejected = ejected.count() + 1;
        let total = self.ready.len();
        let allowed = to_f64(total) * self.tuning.max_ejected_share;
        to_f64(ejected) <= allowed.max(1.0) && ejected + KEPT <= total
    }

    fn best_of_sample(
        &self,
        now: Instant,
        demand: &PlacementRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<(TargetKey, Estimate)> {
        let count = self.ready.len();
        let sampled = if count <= self.tuning.samples {
            self.best_of(now, demand, self.ready.iter().copied())
        } else {
            let keys = (0..self.tuning.samples).map(|_| self.ready[rng.random_range(0..count)]);
            self.best_of(now, demand, keys)
        };
        let preferred = self.preferred(now, demand).and_then(|key| {
            let demand = demand.with_prefix_discount();
            self.best_of(now, &demand, std::iter::once(key))
        });
        let found = preferred.into_iter().chain(sampled);
        found.min_by(|a, b| a.1.seconds.total_cmp(&b.1.seconds))
    }

    /// The target that the prefix belongs to, unless it is fuller than its
    /// neighbours by more than the bound (Mirrokni and others, 2018).
    fn preferred(&self, now: Instant, demand: &PlacementRequest<'_>) -> Option<TargetKey> {
        let key = self.affinity.target(demand.prefix?.hash)?;
        let target = self.targets.get(key)?;
        let neighbours = self.ready.iter().take(self.tuning.samples);
        let fills = neighbours.filter_map(|key| self.targets.get(*key));
        let (sum, count) = fills.fold((0.0, 0.0), |(sum, count), t| (sum + t.fill(), count + 1.0));
        let bound = self.tuning.affinity_bound * (sum / f64::max(count, 1.0));
        let fits = target.fill() <= bound || target.own_running == 0;
        (fits && target.room(now, &self.tuning) >= 1.0).then_some(key)
    }

    fn best_of(
        &self,
        now: Instant,
        demand: &PlacementRequest<'_>,
        keys: impl Iterator<Item = TargetKey>,
    ) -> Option<(TargetKey, Estimate)> {
        keys.filter_map(|key| {
            let target = self.targets.get(key)?;
            self.is_fit(now, key, target, demand).then_some(())?;
            Some((key, target.estimate(now, demand, &self.tuning)))
        })
        .min_by(|a, b| a.1.seconds.total_cmp(&b.1.seconds))
    }

    fn is_fit(
        &self,
        now: Instant,
        key: TargetKey,
        target: &Target,
        demand: &PlacementRequest<'_>,
    ) -> bool {
        let alone = demand.suspicion == Suspicion::Clear || target.own_suspects == 0;
        target.standing == TargetStatus::Ready
            && !target.ejection.is_active(now)
            && alone
            && !demand.avoid.contains(&key)
            && target.room(now, &self.tuning) >= 1.0
    }

    fn rebuild(&mut self) {
        let ready = self
            .targets
            .iter()
            .filter(|(_, t)| t.standing == TargetStatus::Ready);
        let named: Vec<(TargetKey, u64)> = ready.map(|(key, t)| (key, t.name_hash)).collect();
        self.ready = named.iter().map(|(key, _)| *key).collect();
        self.affinity = Affinity::new(&named);
    }
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
