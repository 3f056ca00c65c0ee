//! Number of bystanders that are convicted, and of targets that a poisonous
//! request crashes.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{Fingerprint, Quarantine};

const TARGETS: usize = 16;
/// Requests per second over all targets.
const RATE: f64 = 16.0;
/// Duration of a request, in seconds.
const REQUEST_SECONDS: f64 = 8.0;
/// Time between two steps of the simulation, in seconds.
const STEP: f64 = 0.05;
/// Number of steps, for 10 hours.
const STEPS: u64 = 720_000;
/// Time that a crashed target takes to restart, in seconds.
const RESTART: f64 = 20.0;
/// Time after which a poisonous request crashes its target, in seconds.
const CRASH_DELAY: f64 = 1.0;

#[derive(Default)]
struct Target {
    /// Start times by request, in seconds.
    running: BTreeMap<u64, f64>,
    /// When the target is up again after its last crash, in seconds.
    up_at: f64,
    incarnation: u64,
}

#[derive(Default)]
struct Counts {
    /// Crashes without a cause.
    faults: u32,
    /// Crashes caused by a poisonous request.
    crashes: u32,
    poisonous: BTreeSet<u64>,
    convicted_bystanders: u32,
    convicted_poisonous: u32,
}

/// Prints one row per combination of faults and poisonous requests.
pub fn print() {
    println!(
        "| crashes without cause, each target | poisonous requests | crashes | convicted | \
         targets lost to each | bystanders convicted | for each 1,000 crashes |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (name, faults_per_hour, poison_interval) in [
        ("none", 0.0, 5000),
        ("1 an hour", 1.0, 5000),
        ("1 an hour", 1.0, u32::MAX),
        ("20 an hour", 20.0, u32::MAX),
    ] {
        let counts = simulate(faults_per_hour / 3600.0, poison_interval);
        let poisonous = counts.poisonous.len();
        let each = match u32::try_from(poisonous).unwrap() {
            0 => "-".to_owned(),
            count => format!("{:.2}", f64::from(counts.crashes) / f64::from(count)),
        };
        let all = counts.faults + counts.crashes;
        let rate = 1000.0 * f64::from(counts.convicted_bystanders) / f64::from(all.max(1));
        println!(
            "| {name} | {poisonous} | {all} | {} | {each} | {} | {rate:.2} |",
            counts.convicted_poisonous, counts.convicted_bystanders
        );
    }
}

/// Simulates faults at `fault_rate` per second and target, with one poisonous request in
/// `poison_interval`.
fn simulate(fault_rate: f64, poison_interval: u32) -> Counts {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut quarantine = Quarantine::new();
    let mut targets: Vec<Target> = (0..TARGETS).map(|_| Target::default()).collect();
    let mut waiting: Vec<u64> = Vec::new();
    let mut counts = Counts::default();
    let mut next = 0_u64;
    let mut now = 0.0;
    for _ in 0..STEPS {
        now += STEP;
        if rng.random::<f64>() < RATE * STEP {
            next += 1;
            waiting.push(next);
            if rng.random_range(0..poison_interval) == 0 {
                counts.poisonous.insert(next);
            }
        }
        place(&mut rng, &quarantine, &mut targets, &mut waiting, now);
        for (i, target) in targets.iter_mut().enumerate() {
            target
                .running
                .retain(|_, started| now - *started < REQUEST_SECONDS);
            let fault = rng.random::<f64>() < fault_rate * STEP && now >= target.up_at;
            let poisoned = target
                .running
                .iter()
                .any(|(id, started)| now - started >= CRASH_DELAY && counts.poisonous.contains(id));
            if fault || poisoned {
                counts.faults += u32::from(fault && !poisoned);
                counts.crashes += u32::from(poisoned);
                crash(&mut quarantine, i, target, &mut waiting, &mut counts);
                target.up_at = now + RESTART;
            }
        }
    }
    counts
}

/// Reports a crash. Callers retry the requests that ran there unless they were
/// convicted.
fn crash(
    quarantine: &mut Quarantine,
    number: usize,
    target: &mut Target,
    waiting: &mut Vec<u64>,
    counts: &mut Counts,
) {
    let ids: Vec<u64> = std::mem::take(&mut target.running).into_keys().collect();
    let ran: Vec<Fingerprint> = ids.iter().map(|id| fingerprint(*id)).collect();
    target.incarnation += 1;
    let name = format!("t{number}");
    quarantine.crashed(&name, target.incarnation, &ran);
    for id in ids {
        if !quarantine.is_convicted(&fingerprint(id)) {
            waiting.push(id);
        } else if counts.poisonous.contains(&id) {
            counts.convicted_poisonous += 1;
        } else {
            counts.convicted_bystanders += 1;
        }
    }
}

/// Sends waiting requests to random targets. A suspect is only sent to a target
/// without another suspect.
fn place(
    rng: &mut SmallRng,
    quarantine: &Quarantine,
    targets: &mut [Target],
    waiting: &mut Vec<u64>,
    now: f64,
) {
    waiting.retain(|id| {
        let target = &mut targets[rng.random_range(0..TARGETS)];
        let is_suspect = quarantine.is_suspect(&fingerprint(*id));
        let mut running = target.running.keys();
        let has_suspect = running.any(|id| quarantine.is_suspect(&fingerprint(*id)));
        if target.up_at > now || is_suspect && has_suspect {
            return true;
        }
        target.running.insert(*id, now);
        false
    });
}

fn fingerprint(id: u64) -> Fingerprint {
    let mut digest = [0; Fingerprint::LEN];
    digest[..8].copy_from_slice(&id.to_be_bytes());
    Fingerprint::new(digest)
}
