//! What one entry knows, with the settings of the crate `direct`.

use crate::scenario::Size;
use route::{
    Locality, OutageEstimate, QueueKey, RequestQueue, RequestQueueSettings, RetryAfterSchedule,
    RetryBudget, RetryLimits, ReturnRamp, ReturnSchedule, StepTimeModel, TargetKey, TargetSet,
    TargetSetSettings, zone_subset,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

const ZONES: usize = 3;
const QUEUE_PER_SLOT: f64 = 0.15;
const MAX_UNDIVIDED_TARGETS: usize = 32;
const RETRY_RATIO: f64 = 0.15;
/// Retries that the targets tolerate in a window beyond those earned.
const TOLERATED_RETRIES: u32 = 88;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
pub const RETRY_AFTER: Duration = Duration::from_secs(1);
const ASSUMED_OUTAGE: Duration = Duration::from_secs(3);

/// An entry with its view of the targets.
pub struct Entry {
    pub set: TargetSet,
    pub keys: Vec<TargetKey>,
    pub targets: BTreeMap<TargetKey, usize>,
    pub budget: RetryBudget,
    pub schedule: RetryAfterSchedule,
    /// Since when no target has been available.
    pub unavailable_since: Option<Instant>,
    /// Requests that wait for the end of an outage without a queue.
    pub waiting: VecDeque<(usize, Instant)>,
    pub queue: RequestQueue,
    pub queued: BTreeMap<QueueKey, usize>,
    pub outage: OutageEstimate,
    pub paused_until: Option<Instant>,
    pub returns: ReturnSchedule,
    pub ramp: Option<ReturnRamp>,
    /// Whether something has changed that may let a waiting request start.
    pub has_changed: bool,
}

fn of_zone(zone: usize, zones: usize, count: usize) -> Vec<usize> {
    (0..count).filter(|index| index % zones == zone).collect()
}

impl Entry {
    pub fn new(own: usize, size: Size, now: Instant) -> Entry {
        let step_time =
            StepTimeModel::new(Duration::from_micros(5_850), Duration::from_micros(426));
        let mut set = TargetSet::new(TargetSetSettings {
            queue_per_slot: QUEUE_PER_SLOT,
            step_time: Some(step_time),
            ..TargetSetSettings::default()
        });
        let zones = ZONES.min(size.entries);
        let zone = own % zones;
        let locality = |target: usize| {
            if target % zones == zone {
                Locality::SameZone
            } else {
                Locality::OtherZone
            }
        };
        let keys = (0..size.targets).map(|t| set.insert(crate::targets::SLOTS, locality(t)));
        let keys: Vec<TargetKey> = keys.collect();
        if size.targets > MAX_UNDIVIDED_TARGETS {
            let entries = of_zone(zone, zones, size.entries);
            let targets = of_zone(zone, zones, size.targets);
            let subset = zone_subset(own / zones, entries.len(), targets.len());
            for position in subset.targets {
                set.prefer(keys[targets[position]], subset.entries_per_target);
            }
        }
        let entries = u32::try_from(size.entries).unwrap();
        set.set_entries(Some(entries));
        let mut budget = RetryBudget::new(RETRY_RATIO, 1, now);
        let limits = RetryLimits::of_entry(TOLERATED_RETRIES, RETRY_WINDOW, entries);
        budget.set_limits(&limits, now);
        Entry {
            targets: keys.iter().copied().zip(0..).collect(),
            set,
            keys,
            budget,
            schedule: RetryAfterSchedule::new(RETRY_AFTER),
            unavailable_since: None,
            waiting: VecDeque::new(),
            queue: RequestQueue::new(RequestQueueSettings::default()),
            queued: BTreeMap::new(),
            outage: OutageEstimate::new(ASSUMED_OUTAGE),
            paused_until: None,
            returns: ReturnSchedule::default(),
            ramp: None,
            has_changed: false,
        }
    }

    /// Whether waiting requests should be tried now.
    pub fn take_changed(&mut self, now: Instant) -> bool {
        let probes = self.unavailable_since.and(self.set.next_probe());
        std::mem::take(&mut self.has_changed) || probes.is_some_and(|at| at <= now)
    }
}
