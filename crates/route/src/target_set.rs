//! The targets of one service that all entries reach straight.

use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use slotmap::SlotMap;

use crate::StepTimeModel;
use crate::TargetKey;
use crate::target_state::TargetState;

/// What a target says of its load in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// What is known of a target's load when a request is sent there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEstimate {
    /// Requests of this entry.
    pub own: u32,
    /// Requests of all other entries, by the target's last word.
    pub others: u32,
    /// How old that word is; none if it hasn't told its load yet.
    pub age: Option<Duration>,
}

/// How an attempt at a target of a set went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// It was answered.
    Answered,
    /// The target said that it did not run it: it is full, or another one.
    Declined,
    /// Another target answered at its address.
    Replaced,
    /// The target failed it, or could not be reached.
    Failed,
    /// Nobody waits for it any more.
    Abandoned,
}

/// Limits of a set of targets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetSetSettings {
    /// Requests that may wait at a target for each of its slots. A request
    /// that waits there begins as soon as another one ends, a whole round trip
    /// sooner than one that is sent then. Those that wait longer than their
    /// objective allows only make all that come after them late too.
    pub queue_per_slot: f64,
    /// How the pauses of a target's streams grow with what it runs, where it
    /// is a model engine.
    pub step_time: Option<StepTimeModel>,
    /// Slots that a target in another availability zone must have more free
    /// than one near by to be preferred. One such slot saves a third of the
    /// bytes between zones; the loads of targets differ by as much anyway.
    pub cross_zone_penalty: f64,
    /// How long a target that could not be reached is passed over at first;
    /// each further failure doubles it.
    pub ejection: Duration,
    /// Longest time that it is passed over.
    pub ejection_max: Duration,
    /// How long a target that said that it did not run a request is passed
    /// over: a group that forms anew declines all for half a second or so.
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

/// How far a target is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// In the entry's own availability zone.
    SameZone,
    /// In another one.
    OtherZone,
}

/// The targets of one service that all entries reach straight, and the choice
/// among them.
///
/// No entry sees what the others send. What a target tells of its load with
/// each answer stands in for it: what runs there less this entry's own part
/// was sent by others.
///
/// ```
/// use rand::{SeedableRng, rngs::SmallRng};
/// use route::{Locality, TargetSet, TargetSetSettings, DispatchOutcome};
/// use std::time::Instant;
///
/// let now = Instant::now();
/// let mut target_set = TargetSet::new(TargetSetSettings::default());
/// let key = target_set.insert(6, Locality::SameZone);
/// let mut rng = SmallRng::seed_from_u64(1);
/// assert_eq!(target_set.choose(&[], now, &mut rng), Some(key));
/// target_set.start(key);
/// target_set.end(key, DispatchOutcome::Answered, now);
/// assert_eq!(target_set.choose(&[key], now, &mut rng), None);
/// ```
#[derive(Debug)]
pub struct TargetSet {
    tuning: TargetSetSettings,
    targets: SlotMap<TargetKey, TargetState>,
    /// The target that is tried again, and since when.
    trial: Option<(TargetKey, Instant)>,
    /// Usual time that a request runs, once one has ended.
    runs: Option<Duration>,
}

/// What a request asks of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementDemand {
    /// Time in which it must begin to be answered to be on time.
    pub(crate) left: Duration,
    /// Usual time that a request runs.
    pub(crate) runs: Duration,
}

/// Weight of the newest request in the usual time that one runs.
const RUNS_WEIGHT: f64 = 0.1;

/// Time of a trial: a target that can't run a request declines it within a few
/// milliseconds, and begins to answer some hundred later if it can.
const TRIAL: Duration = Duration::from_millis(50);

impl TargetSet {
    /// A set without targets.
    #[must_use]
    pub fn new(tuning: TargetSetSettings) -> TargetSet {
        TargetSet {
            tuning,
            targets: SlotMap::with_key(),
            trial: None,
            runs: None,
        }
    }

    /// Adds a target that takes work.
    pub fn insert(&mut self, slots: u32, distance: Locality) -> TargetKey {
        self.targets.insert(TargetState::new(slots, distance))
    }

    /// Takes a target out; what runs there ends by itself.
    pub fn remove(&mut self, key: TargetKey) {
        self.targets.remove(key);
    }

    /// Changes whether a target may be given new work.
    pub fn set_accepting(&mut self, key: TargetKey, open: bool) {
        if let Some(target) = self.targets.get_mut(key) {
            target.open = open;
        }
    }

    /// Takes in how many times longer than usual each target takes for its
    /// work.
    ///
    /// The ranks of a group begin each step together, so one that is slow
    /// delays the streams of all. It is given the requests with which it keeps
    /// up with the fastest.
    pub fn set_slowdowns(&mut self, slowdowns: &[(TargetKey, f64)]) {
        let fastest = slowdowns.iter().map(|(_, slowdown)| *slowdown);
        let fastest = fastest.fold(f64::INFINITY, f64::min);
        for (key, slowdown) in slowdowns {
            if let Some(target) = self.targets.get_mut(*key) {
                target.set_slowdown(slowdown / fastest, &self.tuning);
            }
        }
    }

    /// Whether a target is so slow that the streams which it runs should go on
    /// at others.
    #[must_use]
    pub fn should_migrate_streams(&self, key: TargetKey) -> bool {
        self.targets.get(key).is_some_and(TargetState::sheds)
    }

    /// The target at which a stream of a slow one goes on. Pauses that are too
    /// long are no reason against it: the slow target causes them.
    pub fn choose_for_migration(
        &self,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let fit = self.targets.iter().filter(|(key, target)| {
            target.is_available()
                && !target.is_ejected(now)
                && target.has_slot(&self.tuning)
                && !tried.contains(key)
        });
        self.cheapest(fit, rng)
    }

    /// A target was heard of. Its address was another one's for a while if it
    /// was replaced before.
    pub fn record_announcement(&mut self, key: TargetKey, at: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.heard(at);
        }
    }

    /// Chooses the target with the most free places, for its size, among
    /// those that weren't tried. One that failed lately is taken only if
    /// there is no other. `None` if all are full.
    ///
    /// Of the targets that declined with places free, as all ranks of a group
    /// do that forms anew, one is tried at a time. Were each request sent to
    /// each of them, the retries that the service bears would be spent before
    /// the group is there again.
    pub fn choose(
        &mut self,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        self.choose_within(Duration::MAX, tried, now, rng)
    }

    /// As [`TargetSet::choose`], for a request that is on time if it begins to be
    /// answered in the time `left`.
    ///
    /// At a model engine it gets a place if it is about to have a slot by then:
    /// by Little's law one becomes free each time that a request runs, divided
    /// by the slots. One whose time is over gets a place only while some are
    /// left for those that can be on time.
    pub fn choose_within(
        &mut self,
        left: Duration,
        tried: &[TargetKey],
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        self.end_trial(now);
        let demand = PlacementDemand {
            left,
            runs: self.runs.unwrap_or_default(),
        };
        let untried =
            |(key, target): &(TargetKey, &TargetState)| target.is_open() && !tried.contains(key);
        let open = || self.targets.iter().filter(untried);
        let available = || open().filter(|(_, target)| target.is_available());
        let sound = available().filter(|(_, target)| !target.is_ejected(now));
        let chosen = self.least_loaded(&demand, sound, now, rng).or_else(|| {
            let mut any = available().filter(|(_, target)| target.is_ejected(now));
            let soonest = any.by_ref().min_by_key(|(_, target)| target.ejected_until);
            soonest
                .filter(|(_, target)| target.has_room(&demand, &self.tuning, now))
                .map(|(key, _)| key)
        });
        if chosen.is_some() || self.trial.is_some() {
            return chosen;
        }
        let due = open().filter(|(_, target)| target.unable_until.is_some_and(|at| now >= at));
        let chosen = self.least_loaded(&demand, due, now, rng)?;
        self.trial = Some((chosen, now));
        Some(chosen)
    }

    /// A target that hasn't declined by the end of its trial runs the request,
    /// and then its group is there again.
    fn end_trial(&mut self, now: Instant) {
        if self.trial.is_some_and(|(_, since)| now >= since + TRIAL) {
            self.trial = None;
            for target in self.targets.values_mut() {
                target.unable_until = None;
            }
        }
    }

    /// When a target that declined may be tried again.
    #[must_use]
    pub fn next_probe(&self) -> Option<Instant> {
        if let Some((_, since)) = self.trial {
            return Some(since + TRIAL);
        }
        let open = self.targets.values().filter(|target| target.is_open());
        open.filter_map(|target| target.unable_until).min()
    }

    fn least_loaded<'a>(
        &self,
        demand: &PlacementDemand,
        targets: impl Iterator<Item = (TargetKey, &'a TargetState)>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let fit = targets.filter(|(_, target)| target.has_room(demand, &self.tuning, now));
        self.cheapest(fit, rng)
    }

    fn cheapest<'a>(
        &self,
        targets: impl Iterator<Item = (TargetKey, &'a TargetState)>,
        rng: &mut impl Rng,
    ) -> Option<TargetKey> {
        let mut best: Option<(f64, TargetKey)> = None;
        for (key, target) in targets {
            // Entries that know the same would all choose the same one.
            let jitter = rng.random_range(0.0..TIE);
            let cost = target.cost(&self.tuning) + jitter;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Whether any target takes new work when it has room.
    #[must_use]
    pub fn has_available(&self) -> bool {
        self.targets.values().any(TargetState::is_available)
    }

    /// Targets that take new work when they have room.
    #[must_use]
    pub fn available_count(&self) -> usize {
        let available = |target: &&TargetState| target.is_available();
        self.targets.values().filter(available).count()
    }

    /// A request is sent to a target.
    pub fn start(&mut self, key: TargetKey) {
        if let Some(target) = self.targets.get_mut(key) {
            target.own += 1;
        }
    }

    /// A target tells its load, which counts requests of all entries.
    pub fn report_load(&mut self, key: TargetKey, load: ReportedLoad, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.take(load, now);
        }
    }

    /// What is known of a target's load, if it is in the set.
    #[must_use]
    pub fn load_estimate(&self, key: TargetKey, now: Instant) -> Option<LoadEstimate> {
        self.targets.get(key).map(|target| target.seen(now))
    }

    /// A stream of a target paused for so long between two events, and is late
    /// if it pauses for longer than `most`.
    pub fn record_pause(&mut self, key: TargetKey, pause: Duration, most: Duration, now: Instant) {
        if let Some(target) = self.targets.get_mut(key) {
            target.paused(pause, most, now);
        }
    }

    /// A request is over.
    pub fn end(&mut self, key: TargetKey, outcome: DispatchOutcome, now: Instant) {
        self.trial = self.trial.filter(|(tried, _)| *tried != key);
        if let Some(target) = self.targets.get_mut(key) {
            target.own = target.own.saturating_sub(1);
            target.learn(outcome, now, &self.tuning);
        }
    }

    /// A request was answered in full, for which it took so long.
    pub fn record_duration(&mut self, time: Duration) {
        self.runs = Some(match self.runs {
            Some(usual) => usual.mul_f64(1.0 - RUNS_WEIGHT) + time.mul_f64(RUNS_WEIGHT),
            None => time,
        });
    }

    /// Requests of this entry at a target.
    #[must_use]
    pub fn running(&self, key: TargetKey) -> u32 {
        self.targets.get(key).map_or(0, |target| target.own)
    }
}

/// Costs that differ by less than this are taken for equal: a tenth of what
/// one request more makes at a target of ten slots.
const TIE: f64 = 0.01;
