//! More demand than a group of engines carries, replayed on the choice of
//! targets with a model of the engines.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{DispatchOutcome, Locality, StepTimeModel, TargetKey, TargetSet, TargetSetSettings};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

const ENGINES: u32 = 12;
const SLOTS: u32 = 12;
const TICK: Duration = Duration::from_millis(10);
/// Time that a stream has a slot.
const RUNS: Duration = Duration::from_millis(2_300);
/// Time from a slot to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(150);
const OBJECTIVE: Duration = Duration::from_millis(400);
/// When a caller who was refused comes back, once.
const COMES_BACK: Duration = Duration::from_millis(1_100);
const LASTS: Duration = Duration::from_secs(30);

/// Requests a second that the slots carry.
fn carried() -> f64 {
    f64::from(ENGINES * SLOTS) / RUNS.as_secs_f64()
}

/// A request, by when its caller came first, and whether it has come back.
#[derive(Clone, Copy)]
struct Request {
    came: Instant,
    is_back: bool,
}

/// One engine: requests take slots in the order in which they came.
#[derive(Default)]
struct Engine {
    runs: VecDeque<Instant>,
    waits: VecDeque<Request>,
}

impl Engine {
    /// Ends what is over and begins what waits; the requests that were begun.
    fn step(&mut self, now: Instant) -> (usize, Vec<Request>) {
        let before = self.runs.len();
        self.runs.retain(|until| now < *until);
        let ended = before - self.runs.len();
        let mut begun = Vec::new();
        while self.runs.len() < SLOTS as usize
            && let Some(request) = self.waits.pop_front()
        {
            self.runs.push_back(now + RUNS);
            begun.push(request);
        }
        (ended, begun)
    }
}

/// Requests a second that are on time under `load` times what the slots carry.
fn on_time(load: f64) -> f64 {
    let pace = StepTimeModel::new(Duration::from_micros(5_850), Duration::from_micros(355));
    let mut target_set = TargetSet::new(TargetSetSettings {
        queue_per_slot: 0.15,
        step_time: Some(pace),
        ..TargetSetSettings::default()
    });
    let keys = (0..ENGINES).map(|_| target_set.insert(SLOTS, Locality::SameZone));
    let mut engines: BTreeMap<TargetKey, Engine> =
        keys.map(|key| (key, Engine::default())).collect();
    let mut rng = SmallRng::seed_from_u64(3);
    let start = Instant::now();
    let (mut now, mut served, mut due) = (start, 0.0, 0.0);
    let mut back: VecDeque<Request> = VecDeque::new();
    while now < start + LASTS {
        for (key, engine) in &mut engines {
            let (ended, started) = engine.step(now);
            for _ in 0..ended {
                target_set.end(*key, DispatchOutcome::Answered, now);
                target_set.record_duration(RUNS);
            }
            let early = |r: &&Request| now + FIRST_EVENT <= r.came + OBJECTIVE;
            served += started.iter().filter(early).map(|_| 1.0).sum::<f64>();
        }
        let mut comes = Vec::new();
        while back.front().is_some_and(|r| r.came + COMES_BACK <= now) {
            comes.extend(back.pop_front());
        }
        due += load * carried() * TICK.as_secs_f64() * rng.random_range(0.0..2.0);
        while due >= 1.0 {
            due -= 1.0;
            let is_back = false;
            comes.push(Request { came: now, is_back });
        }
        for request in comes {
            let left = (request.came + OBJECTIVE).saturating_duration_since(now);
            if let Some(key) = target_set.choose_within(left, &[], now, &mut rng) {
                target_set.start(key);
                engines.entry(key).or_default().waits.push_back(request);
            } else if !request.is_back {
                let is_back = true;
                back.push_back(Request { is_back, ..request });
            }
        }
        now += TICK;
    }
    served / LASTS.as_secs_f64()
}

/// Guards against a collapse under overload: what is served would be late
/// while those who could be on time are refused.
#[test]
fn on_time_never_collapses() {
    let loads = [0.5, 0.9, 1.1, 1.5, 2.0, 3.0, 4.0];
    let served: Vec<f64> = loads.iter().map(|load| on_time(*load)).collect();
    let mut best: f64 = 0.0;
    for (load, served) in loads.iter().zip(&served) {
        best = best.max(*served);
        assert!(*served >= 0.9 * best, "at {load}: {served} of {best}");
    }
}
