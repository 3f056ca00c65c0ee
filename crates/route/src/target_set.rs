//! The targets of a service to which all entries connect directly.

use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use slotmap::SlotMap;

use crate::ColdShare;
use crate::StepTimeModel;
use crate::TargetKey;
use crate::load_probe::LoadProbe;
use crate::target_state::TargetState;

/// Load of a target, as reported in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
}

/// Estimated load of a target at the time a request is sent there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Number of requests of this entry.
    pub own: u32,
    /// Number of requests of all other entries, according to the last report.
    pub others: u32,
    /// Age of that report, or `None` if the target has not reported its load yet.
    pub age: Option<Duration>,
}

/// Outcome of an attempt on a target of a set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The target answered.
    Answered,
    /// The target reported that it did not run the request, because it is full or
    /// unable to.
    Declined,
    /// Another target answered at the same address.
    Replaced,
    /// The target failed or could not be reached.
    Failed,
    /// The caller no longer waits for the answer.
    Abandoned,
}

/// Settings of a [`TargetSet`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSetSettings {
    /// Maximum number of requests that wait at a target, per slot. A waiting
    /// request starts as soon as another one ends, one round trip earlier than if
    /// it were sent only then. Requests that wait longer than their objective
    /// allows only delay all later ones too.
    pub queue_per_slot: f64,
    /// Step time of the targets under load, if they are model engines.
    pub step_time: Option<StepTimeModel>,
    /// Number of additional free slots that a target in another availability zone
    /// must have to be preferred to one in the same zone. One slot saves a third
    /// of the traffic between zones, and loads of targets differ by as much anyway.
    pub cross_zone_penalty: f64,
    /// Duration of the first ejection of a target that failed; doubles with each
    /// further failure.
    pub ejection: Duration,
    /// Maximum duration of an ejection.
    pub ejection_max: Duration,
    /// Time for which a target that declined a request is not used. A group that
    /// re-forms declines all requests for about 0.5 s.
    pub decline_backoff: Duration,
}

impl Default for TargetSetSettings {
    fn default() -> Self {
        TargetSetSettings {
            queue_per_slot: 1.0,
            step_time: None,
            cross_zone_penalty: 1.0,
            ejection: Duration::from_millis(500),
            ejection_max: Duration::from_secs(8),
            decline_backoff: Duration::from_millis(200),
        }
    }
}

/// Whether a target is in the availability zone of the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// In the same availability zone as the entry.
    SameZone,
    /// In another availability zone.
    OtherZone,
}

/// The targets of a service to which all entries connect directly, with the
/// choice among them.
///
/// Entries do not know what other entries send. They infer it from the load that
/// a target reports with each answer, by subtracting their own requests.
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use route::{DispatchOutcome, Locality, TargetSet, TargetSetSettings};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut target_set = TargetSet::new(TargetSetSettings::default());
/// let key = target_set.insert(6, Locality::SameZone);
/// let mut rng = SmallRng::seed_from_u64(1);
/// assert_eq!(target_set.choose(&[], now, &mut rng), Some(key));
/// target_set.start(key, now);
/// target_set.end(key, DispatchOutcome::Answered, now);
/// assert_eq!(target_set.choose(&[key], now, &mut rng), None);
/// ```
#[derive(Debug)]
pub struct TargetSet {
    settings: TargetSetSettings,
    pub(crate) targets: SlotMap<TargetKey, TargetState>,
    /// The target that is being probed, and the start of the probe.
    pub(crate) probe: Option<(TargetKey, Instant)>,
    /// Start of the latest probe.
    last_probe: Option<Instant>,
    /// Moving average of the duration of requests, once one has completed.
    mean_duration: Option<Duration>,
    load_probe: LoadProbe,
    /// Number of entries, if it is known.
    pub(crate) entries: Option<u32>,
}

/// Timing of a request to be placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTiming {
    /// Time until its answer must start to be on time.
    pub(crate) time_left: Duration,
    /// Mean duration of requests.
    pub(crate) mean_duration: Duration,
    /// Mean number of requests of this entry at the targets that it prefers.
    pub(crate) mean_own: f64,
    /// Mean number of requests of other entries at the targets that have told lately.
    pub(crate) mean_others: f64,
    pub(crate) lateness: Lateness,
}

/// Whether a request that is already late yields to later ones that can be on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lateness {
    /// It is only accepted while there are slots left for those.
    Yields,
    /// It is accepted to any free slot: those that come before it have started.
    Ignored,
}

impl RequestTiming {
    /// Whether a target may be given the request as far as its streams show. Only requests
    /// that can wait in a queue keep away from silent targets.
    fn suits(&self, target: &TargetState, now: Instant) -> bool {
        self.lateness == Lateness::Yields || !target.is_silent(now)
    }

    /// Whether the request is late and yields to those that can be on time.
    pub(crate) fn yields(&self) -> bool {
        self.time_left.is_zero() && self.lateness == Lateness::Yields
    }
}

fn mean(counts: impl Iterator<Item = u32>) -> f64 {
    let (sum, count) = counts.fold((0, 0_u32), |(sum, count), each| (sum + each, count + 1));
    f64::from(sum) / f64::from(count.max(1))
}

/// Weight of the latest request in the mean duration.
const DURATION_WEIGHT: f64 = 0.1;

/// Duration of a probe. A target that cannot run a request declines it within a few
/// milliseconds; one that can starts to answer some 100 ms later.
pub(crate) const PROBE_DURATION: Duration = Duration::from_millis(50);
/// Time between two probes while other targets have room, and from when a target may be
/// probed until it is probed all the same.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

impl TargetSet {
    /// Creates a set without targets.
    #[must_use]
    pub fn new(settings: TargetSetSettings) -> TargetSet {
        TargetSet {
            settings,
            targets: SlotMap::with_key(),
            probe: None,
            last_probe: None,
            mean_duration: None,
            load_probe: LoadProbe::default(),
            entries: None,
        }
    }

    /// Adds a target that accepts requests.
    pub fn insert(&mut self, slots: u32, distance: Locality) -> TargetKey {
        self.targets.insert(TargetState::new(slots, distance))
    }

    /// Removes a target. Its running requests are not affected.
    pub fn remove(&mut self, key: TargetKey) {
        self.targets.remove(key);
    }

    /// Sets whether a target may be given new requests.
    pub fn set_accepting(&mut self, key: TargetKey, accepting: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.accepting = accepting;
        }
    }

    /// Sets whether a target has said that it leaves, and gets no new requests.
    pub fn set_leaving(&mut self, key: TargetKey, leaving: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.leaving = leaving;
        }
    }

    /// Sets until when a target is cold, and what this entry may send to it until then.
    pub fn set_cold(
        &mut self,
        key: TargetKey,
        until: Option<Instant>,
        share: ColdShare,
        now: Instant,
    ) {
        if let Some(target) = self.targets.get_mut(key) {
            target.set_cold(until, share, now);
        }
    }

    /// Makes this entry prefer a target, like `entries` entries in total. If there are
    /// preferred targets, others get requests only while those are full.
    pub fn prefer(&mut self, key: TargetKey, entries: u32) {
        if let Some(target) = self.targets.get_mut(key) {
            target.prefer(Some(entries));
        }
    }

    /// Makes this entry prefer no target.
    pub fn clear_preferred(&mut self) {
        for target in self.targets.values_mut() {
            target.prefer(None);
        }
    }

    /// Sets the slowdown of each target, as a factor on its usual step time.
    ///
    /// The ranks of a group start each step together, so a slow rank delays the
    /// streams of all others. It is limited to the number of requests at which it
    /// keeps up with the fastest rank.
    pub fn set_slowdowns(&mut self, slowdowns: &[(TargetKey, f64)]) {
        let fastest = slowdowns.iter().map(|(_, slowdown)| *slowdown);
        let fastest = fastest.fold(f64::INFINITY, f64::min);
        for (key, slowdown) in slowdowns {
            if let Some(target) = self.targets.get_mut(*key) {
                target.set_slowdown(slowdown / fastest, &self.settings);
            }
        }
    }

    /// Whether a target is so slow that its streams should be migrated to other
    /// targets.
    #[must_use]
    pub fn should_migrate_streams(&self, key: TargetKey) -> bool {
        self.targets
            .get(key)
            .is_some_and(TargetState::should_migrate_streams)
    }

    /// Chooses the target to which a stream of a slow target is migrated. Long
    /// pauses of a target's streams do not rule it out, since the slow target
    /// causes them.
    pub fn choose_for_migration(
        &self,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let timing = self.timing(Duration::MAX, now);
        let eligible = self.targets.iter().filter(|(key, target)| {
            target.is_available()
                && self.takes_more(target, now)
                && !target.is_ejected(now)
                && target.has_slot(&timing, &self.settings, now)
                && !tried.contains(key)
        });
        self.lowest_cost(&timing, eligible, now, rng)
    }

    pub(crate) fn timing(&self, time_left: Duration, now: Instant) -> RequestTiming {
        let mean_duration = self.mean_duration.unwrap_or_default();
        let preferred = self.targets.values().filter(|t| t.is_preferred());
        let reported = self.targets.values();
        let reported = reported.filter_map(|t| t.reported_others(mean_duration, now));
        RequestTiming {
            time_left,
            mean_duration,
            mean_own: mean(preferred.map(|target| target.own)),
            mean_others: mean(reported),
            lateness: Lateness::Yields,
        }
    }

    /// Records that a target announced itself at the time `at`. If another target
    /// answered at its address before that time, the address is its own again.
    pub fn record_announcement(&mut self, key: TargetKey, at: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_announcement(at);
        }
    }

    /// Chooses the target with the largest fraction of free slots among those not
    /// in `tried`. An ejected target is only chosen if there is no other. Returns
    /// `None` if all are full.
    ///
    /// When a group re-forms, all its ranks decline requests although they have
    /// free slots. Of such targets, one is probed at a time. If each request were
    /// sent to each of them, the retry budget of the service would be spent before
    /// the group is back.
    pub fn choose(
        &mut self,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        self.choose_within(Duration::MAX, tried, now, rng)
    }

    /// Like [`TargetSet::choose`], for a request that is on time if its answer
    /// starts within `time_left`.
    ///
    /// A model engine only accepts a request that should get a slot in time. By
    /// Little's law, slots become free at intervals of the mean request duration
    /// divided by the number of slots. A request that is already late is only
    /// accepted while there are slots left for requests that can be on time.
    pub fn choose_within(
        &mut self,
        time_left: Duration,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let timing = self.timing(time_left, now);
        self.choose_timed(timing, tried, now, rng)
    }

    pub(crate) fn choose_timed(
        &mut self,
        timing: RequestTiming,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        self.end_probe(now);
        let untried = |(key, target): &(TargetKey, &TargetState)| {
            target.is_accepting() && self.takes_more(target, now) && !tried.contains(key)
        };
        let accepting = || self.targets.iter().filter(untried);
        let is_due = |target: &TargetState, wait| {
            let declining = target.declining_until;
            declining.is_some_and(|at| now >= at + wait)
        };
        let due = |wait| accepting().filter(move |(_, target)| is_due(target, wait));
        if self.may_probe_beside_others(now)
            && let Some(key) = self.least_loaded(&timing, due(PROBE_INTERVAL), now, rng)
        {
            self.begin_probe(key, now);
            return Some(key);
        }
        let responds = |target: &TargetState| timing.suits(target, now);
        let available =
            || accepting().filter(|(_, target)| target.is_available() && responds(target));
        let healthy = || available().filter(|(_, target)| !target.is_ejected(now));
        let chosen = self.least_loaded_by_preference(&timing, healthy, now, rng);
        let chosen = chosen.or_else(|| {
            if self.has_subset() && healthy().next().is_some() {
                return None;
            }
            let mut ejected = available().filter(|(_, target)| target.is_ejected(now));
            let soonest = ejected
                .by_ref()
                .min_by_key(|(_, target)| target.ejected_until);
            soonest
                .filter(|(_, target)| target.has_room(&timing, &self.settings, now))
                .map(|(key, _)| key)
        });
        if chosen.is_some() || self.probe.is_some() {
            return chosen;
        }
        let chosen = self.least_loaded(&timing, due(Duration::ZERO), now, rng)?;
        self.begin_probe(chosen, now);
        Some(chosen)
    }

    /// Whether [`TargetSet::choose_within`] would choose a target. Unlike
    /// that, it begins no probe.
    pub fn can_choose_within(
        &mut self,
        time_left: Duration,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let timing = self.timing(time_left, now);
        self.can_choose_timed(timing, tried, now, rng)
    }

    pub(crate) fn can_choose_timed(
        &mut self,
        timing: RequestTiming,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let probes = (self.probe, self.last_probe);
        let chosen = self.choose_timed(timing, tried, now, rng);
        (self.probe, self.last_probe) = probes;
        chosen.is_some()
    }

    fn begin_probe(&mut self, key: TargetKey, now: Instant) {
        self.probe = Some((key, now));
        self.last_probe = Some(now);
    }

    /// Whether a target that declined may be probed while others have room. Without that,
    /// one that has declined once would be left to the others for as long as they last.
    fn may_probe_beside_others(&self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= PROBE_INTERVAL;
        self.probe.is_none() && self.last_probe.is_none_or(is_due)
    }

    /// Ends the probe when its time is over. The target has not declined by then,
    /// so it runs the request and its whole group is back.
    fn end_probe(&mut self, now: Instant) {
        if self
            .probe
            .is_some_and(|(_, since)| now >= since + PROBE_DURATION)
        {
            self.probe = None;
            for target in self.targets.values_mut() {
                target.declining_until = None;
            }
        }
    }

    /// When a target that declined may be probed next.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        if let Some((_, since)) = self.probe {
            return Some(since + PROBE_DURATION);
        }
        let accepting = self.targets.values().filter(|target| target.is_accepting());
        accepting.filter_map(|target| target.declining_until).min()
    }

    /// Chooses a preferred target with a free slot; or else another one that is known to
    /// have one; or else a preferred one at which the request has to wait; or else one
    /// of unknown load, one at a time.
    ///
    /// Most targets are unknown to an entry. If it assumed that they are free while its
    /// own are full, all entries would fill them beyond their slots in an overload.
    fn least_loaded_by_preference<'a, T>(
        &self,
        timing: &RequestTiming,
        targets: impl Fn() -> T,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey>
    where
        T: Iterator<Item = (TargetKey, &'a TargetState)>,
    {
        if !self.has_subset() || self.preferred_have_enough(now) {
            return self.least_loaded(timing, targets(), now, rng);
        }
        let free = || targets().filter(|(_, target)| target.has_free_slot(timing, now));
        let preferred = free().filter(|(_, target)| target.is_preferred());
        if let Some(key) = self.least_loaded(timing, preferred, now, rng) {
            return Some(key);
        }
        let others = free().filter(|(_, target)| !target.is_preferred());
        let known = others.filter(|(_, target)| target.is_load_known(now));
        if let Some(key) = self.least_loaded(timing, known, now, rng) {
            return Some(key);
        }
        let preferred = targets().filter(|(_, target)| target.is_preferred());
        if let Some(key) = self.least_loaded(timing, preferred, now, rng) {
            return Some(key);
        }
        if timing.yields() || !self.load_probe.is_due(now) {
            return None;
        }
        let unknown = targets()
            .filter(|(_, target)| !target.is_preferred() && !target.is_load_known(now))
            .filter(|(_, target)| target.has_room(timing, &self.settings, now));
        unknown.map(|(key, _)| key).choose(rng)
    }

    pub(crate) fn settings(&self) -> &TargetSetSettings {
        &self.settings
    }

    pub(crate) fn has_subset(&self) -> bool {
        self.targets.values().any(TargetState::is_preferred)
    }

    fn least_loaded<'a>(
        &self,
        timing: &RequestTiming,
        targets: impl Iterator<Item = (TargetKey, &'a TargetState)>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let eligible = targets.filter(|(_, target)| target.has_room(timing, &self.settings, now));
        self.lowest_cost(timing, eligible, now, rng)
    }

    fn lowest_cost<'a>(
        &self,
        timing: &RequestTiming,
        targets: impl Iterator<Item = (TargetKey, &'a TargetState)>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let mut best: Option<(f64, TargetKey)> = None;
        for (key, target) in targets {
            // Without jitter, entries with the same view would all choose the
            // same target.
            let jitter = rng.random_range(0.0..COST_JITTER);
            let cost = target.cost(timing, &self.settings, now) + jitter;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Whether any target accepts new requests when it has room.
    #[must_use]
    pub fn has_available(&self) -> bool {
        self.targets.values().any(TargetState::is_available)
    }

    /// Number of targets that accept new requests when they have room.
    #[must_use]
    pub fn available_count(&self) -> usize {
        let available = |target: &&TargetState| target.is_available();
        self.targets.values().filter(available).count()
    }

    /// Records that a request was sent to a target.
    pub fn start(&mut self, key: TargetKey, now: Instant) {
        let has_subset = self.has_subset();
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.start(now);
        if has_subset && !target.is_preferred() && !target.is_load_known(now) {
            self.load_probe.begin(key, now);
        }
    }

    /// Records the load reported by a target, which includes requests of all entries.
    pub fn report_load(&mut self, key: TargetKey, load: ReportedLoad, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else {
            return;
        };
        target.report_load(load, now);
        let has_free_slot = target.reports_free_slots();
        self.load_probe.record_report(key, has_free_slot, now);
    }

    /// Returns the estimated load of a target, if it is in the set.
    #[must_use]
    pub fn load_estimate(&self, key: TargetKey, now: Instant) -> Option<LoadEstimate> {
        self.targets
            .get(key)
            .map(|target| target.load_estimate(now))
    }

    /// Records a pause between two events of a target's stream. The stream is late
    /// if a pause is longer than `max_pause`.
    pub fn record_pause(
        &mut self,
        key: TargetKey,
        pause: Duration,
        max_pause: Duration,
        now: Instant,
    ) {
        if let Some(target) = self.targets.get_mut(key) {
            target.record_pause(pause, max_pause, now);
        }
    }

    /// Records the end of a request.
    pub fn end(&mut self, key: TargetKey, outcome: DispatchOutcome, now: Instant) {
        self.probe = self.probe.filter(|(probed, _)| *probed != key);
        self.load_probe.end(key);
        if let Some(target) = self.targets.get_mut(key) {
            target.end();
            target.record_outcome(outcome, now, &self.settings);
        }
    }

    /// Records the duration of a request that was answered in full.
    pub fn record_duration(&mut self, duration: Duration) {
        self.mean_duration = Some(match self.mean_duration {
            Some(mean) => mean.mul_f64(1.0 - DURATION_WEIGHT) + duration.mul_f64(DURATION_WEIGHT),
            None => duration,
        });
    }

    /// Moving average of the duration of requests; none before one has completed.
    #[must_use]
    pub fn mean_duration(&self) -> Option<Duration> {
        self.mean_duration
    }

    /// Number of requests of this entry at a target.
    #[must_use]
    pub fn running(&self, key: TargetKey) -> u32 {
        self.targets.get(key).map_or(0, |target| target.own)
    }
}

/// Costs that differ by less than this count as equal: a tenth of the cost of one
/// request at a target with ten slots.
const COST_JITTER: f64 = 0.01;
