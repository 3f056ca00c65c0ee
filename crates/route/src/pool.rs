//! Pool of targets, and the choice among them.

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

/// The targets of one model group or service, with the choice among them.
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use route::{PlacementRequest, Pool, PoolSettings, StartState, TargetStatus};
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let mut pool = Pool::new(PoolSettings::default());
/// let key = pool.insert("advisor-01", Duration::from_millis(1), StartState::Warm, now);
/// pool.set_status(key, TargetStatus::Ready);
///
/// let mut rng = SmallRng::seed_from_u64(1);
/// let request = PlacementRequest::of_tokens(300);
/// let choice = pool.choose(now, &request, &mut rng).expect("a target is ready");
/// let attempt = pool.start(now, &choice, &request);
/// pool.answer_started(now + Duration::from_millis(50), attempt);
/// pool.end(now + Duration::from_secs(1), attempt, route::AttemptResult::Completed);
/// assert_eq!(pool.running(key), 0);
/// ```
#[derive(Debug)]
pub struct Pool {
    settings: PoolSettings,
    targets: SlotMap<TargetKey, Target>,
    ready: Vec<TargetKey>,
    affinity: Affinity,
    attempts: SlotMap<AttemptKey, Attempt>,
}

/// Minimum number of ready targets that are not ejected.
const MIN_NOT_EJECTED: usize = 1;
/// Minimum share of a target that an entry may be given.
const MIN_SHARE: f64 = 1e-3;

impl Pool {
    /// Creates a pool without targets.
    #[must_use]
    pub fn new(settings: PoolSettings) -> Self {
        Pool {
            settings,
            targets: SlotMap::with_key(),
            ready: Vec::new(),
            affinity: Affinity::default(),
            attempts: SlotMap::with_key(),
        }
    }

    /// Adds a target with a network delay of `distance`. It is unavailable until
    /// its status is set.
    pub fn insert(
        &mut self,
        name: &str,
        distance: Duration,
        start_state: StartState,
        now: Instant,
    ) -> TargetKey {
        let mut target = Target::new(name, distance, now, &self.settings);
        if start_state == StartState::Warm {
            target.set_warm();
        }
        self.targets.insert(target)
    }

    /// Sets which ranks a target has. Load reports set them too.
    pub fn set_ranks(&mut self, key: TargetKey, ranks: &[u32]) {
        if let Some(target) = self.targets.get_mut(key) {
            target.set_ranks(ranks);
        }
    }

    /// Removes a target and its attempts.
    pub fn remove(&mut self, key: TargetKey) {
        self.targets.remove(key);
        self.attempts.retain(|_, attempt| attempt.target != key);
        self.rebuild_ready();
    }

    /// Changes whether the target may be given new work.
    pub fn set_status(&mut self, key: TargetKey, status: TargetStatus) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        if target.status != status {
            target.status = status;
            self.rebuild_ready();
        }
    }

    /// The target has restarted as a new incarnation. Its attempts are lost, and
    /// its load is ramped up slowly.
    pub fn restarted(&mut self, now: Instant, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.restart(now, &self.settings);
            self.attempts.retain(|_, attempt| attempt.target != key);
        }
    }

    /// Sets this entry's share of a target's capacity, which is 1 / n for a target
    /// used by n entries. It differs between targets if each entry only links to
    /// some of them.
    pub fn set_share(&mut self, key: TargetKey, share: f64) {
        if let Some(target) = self.targets.get_mut(key) {
            target.share = share.clamp(MIN_SHARE, 1.0);
        }
    }

    /// Applies a load report, unless it is older than the last one.
    pub fn report(&mut self, key: TargetKey, report: &TargetLoadReport) {
        if let Some(target) = self.targets.get_mut(key) {
            target.apply_report(report);
        }
    }

    /// Applies a target's cache events. A gap in the sequence clears what is known
    /// of its cache.
    pub fn cache_events(&mut self, key: TargetKey, sequence: u64, stored: &[u64], evicted: &[u64]) {
        if let Some(target) = self.targets.get_mut(key) {
            target.cache.apply_events(sequence, stored, evicted);
        }
    }

    /// Targets that may be given new work.
    #[must_use]
    pub fn ready(&self) -> &[TargetKey] {
        &self.ready
    }

    /// Name of a target.
    #[must_use]
    pub fn name(&self, key: TargetKey) -> Option<&str> {
        self.targets.get(key).map(|target| target.name.as_str())
    }

    /// Number of attempts of this entry that run on a target.
    #[must_use]
    pub fn running(&self, key: TargetKey) -> u32 {
        self.targets.get(key).map_or(0, |target| target.own_running)
    }

    /// Capacity of all ready targets that are not ejected. Takes time in proportion
    /// to their number.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> Capacity {
        let ready = self.ready.iter().filter_map(|key| self.targets.get(*key));
        let ready = ready.filter(|target| !target.ejection.is_active(now));
        let mut capacity = Capacity::default();
        for target in ready {
            let limit = target.limit.current() * target.ramp_up_factor(now, &self.settings);
            capacity.total += limit;
            capacity.overcommit += limit * (self.settings.overcommit - 1.0);
            capacity.own_share += limit * target.share;
            capacity.usable += f64::from(target.own_running) + target.room(now, &self.settings);
        }
        capacity
    }

    /// Chooses the target and rank with the least expected time to the first token
    /// among a few sampled targets and the one that the prefix is assigned to.
    ///
    /// Returns `None` if no ready target has room.
    pub fn choose(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let best = self.best_of_sample(now, request, rng);
        let best = best.or_else(|| self.best_of(now, request, self.ready.iter().copied()));
        best.map(|(target, estimate)| Choice {
            target,
            rank: estimate.rank,
            expected: Duration::try_from_secs_f64(estimate.seconds).unwrap_or(Duration::MAX),
        })
    }

    /// Registers an attempt on the chosen target.
    pub fn start(
        &mut self,
        now: Instant,
        choice: &Choice,
        request: &PlacementRequest<'_>,
    ) -> AttemptKey {
        let Some(target) = self.targets.get_mut(choice.target) else {
            return AttemptKey::default();
        };
        let incarnation = target.incarnation_start();
        let key = self.attempts.insert_with_key(|key| Attempt {
            key,
            target: choice.target,
            incarnation,
            rank: choice.rank,
            tokens: request.tokens,
            suspicion: request.suspicion,
            started: now,
            expected: choice.expected.as_secs_f64(),
            first_token_at: None,
        });
        target.started(now, key, choice.rank, request);
        key
    }

    /// Records that the first token or byte of the answer has arrived.
    pub fn answer_started(&mut self, now: Instant, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if attempt.first_token_at.is_some() {
            return;
        }
        if let Some(target) = self.targets.get_mut(attempt.target) {
            target.answer_started(now, attempt);
        }
        attempt.first_token_at = Some(now);
    }

    /// Records the end of an attempt.
    pub fn end(&mut self, now: Instant, key: AttemptKey, result: AttemptResult) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let Some(target) = self.targets.get_mut(attempt.target) else {
            return;
        };
        if attempt.incarnation != target.incarnation_start() {
            return;
        }
        target.ended(now, &attempt);
        match result {
            AttemptResult::Completed => {
                target.ejection.record_success();
                target.record_hold(now.saturating_duration_since(attempt.started));
            }
            AttemptResult::Full => target.limit.on_overload(),
            AttemptResult::Failed => self.record_failure(now, attempt.target),
            AttemptResult::Cancelled => {}
        }
    }

    fn record_failure(&mut self, now: Instant, key: TargetKey) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        let should_eject = target.ejection.record_failure(&self.settings);
        if should_eject && self.may_eject(now) {
            let target = &mut self.targets[key];
            target.ejection.eject(now, &self.settings);
        }
    }

    /// Whether one more target may be ejected. A network fault near the entry looks
    /// like a fault of every target, and ejecting all of them would turn a
    /// disturbance into an outage.
    fn may_eject(&self, now: Instant) -> bool {
        let ready = self.ready.iter().filter_map(|key| self.targets.get(*key));
        let ejected = ready.filter(|target| target.ejection.is_active(now));
        let ejected = ejected.count() + 1;
        let total = self.ready.len();
        let allowed = to_f64(total) * self.settings.max_ejected_share;
        to_f64(ejected) <= allowed.max(1.0) && ejected + MIN_NOT_EJECTED <= total
    }

    fn best_of_sample(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<(TargetKey, Estimate)> {
        let count = self.ready.len();
        let sampled = if count <= self.settings.samples {
            self.best_of(now, request, self.ready.iter().copied())
        } else {
            let keys = (0..self.settings.samples).map(|_| self.ready[rng.random_range(0..count)]);
            self.best_of(now, request, keys)
        };
        let by_affinity = self.affinity_target(now, request).and_then(|key| {
            let request = request.with_prefix_discount();
            self.best_of(now, &request, std::iter::once(key))
        });
        let candidates = by_affinity.into_iter().chain(sampled);
        candidates.min_by(|a, b| a.1.seconds.total_cmp(&b.1.seconds))
    }

    /// The target that the prefix is assigned to, unless its load exceeds that of a
    /// sample of targets by more than the bound (consistent hashing with bounded
    /// loads; Mirrokni and others, 2018).
    fn affinity_target(&self, now: Instant, request: &PlacementRequest<'_>) -> Option<TargetKey> {
        let key = self.affinity.target(request.prefix?.hash)?;
        let target = self.targets.get(key)?;
        let sample = self.ready.iter().take(self.settings.samples);
        let sample = sample.filter_map(|key| self.targets.get(*key));
        let (sum, count) = sample.fold((0.0, 0.0), |(sum, count), t| {
            (sum + t.utilization(), count + 1.0)
        });
        let bound = self.settings.affinity_bound * (sum / f64::max(count, 1.0));
        let fits = target.utilization() <= bound || target.own_running == 0;
        (fits && target.room(now, &self.settings) >= 1.0).then_some(key)
    }

    fn best_of(
        &self,
        now: Instant,
        request: &PlacementRequest<'_>,
        keys: impl Iterator<Item = TargetKey>,
    ) -> Option<(TargetKey, Estimate)> {
        keys.filter_map(|key| {
            let target = self.targets.get(key)?;
            self.is_eligible(now, key, target, request).then_some(())?;
            Some((key, target.estimate(now, request, &self.settings)))
        })
        .min_by(|a, b| a.1.seconds.total_cmp(&b.1.seconds))
    }

    fn is_eligible(
        &self,
        now: Instant,
        key: TargetKey,
        target: &Target,
        request: &PlacementRequest<'_>,
    ) -> bool {
        let isolated = request.suspicion == Suspicion::Clear || target.own_suspects == 0;
        target.status == TargetStatus::Ready
            && !target.ejection.is_active(now)
            && isolated
            && !request.avoid.contains(&key)
            && target.room(now, &self.settings) >= 1.0
    }

    fn rebuild_ready(&mut self) {
        let ready = self
            .targets
            .iter()
            .filter(|(_, t)| t.status == TargetStatus::Ready);
        let hashes: Vec<(TargetKey, u64)> = ready.map(|(key, t)| (key, t.name_hash)).collect();
        self.ready = hashes.iter().map(|(key, _)| *key).collect();
        self.affinity = Affinity::new(&hashes);
    }
}

fn to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
