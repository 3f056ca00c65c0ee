//! How often a bystander is convicted, and how many targets a request takes
//! down that crashes them.

use std::collections::{BTreeMap, BTreeSet};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use route::{Fingerprint, Quarantine};

const TARGETS: usize = 16;
/// Requests a second over all targets, each running for `HOLD` seconds.
const RATE: f64 = 16.0;
const HOLD: f64 = 8.0;
/// Seconds between two steps of the run.
const STEP: f64 = 0.05;
/// Steps of the run: 10 hours.
const STEPS: u64 = 720_000;
/// Seconds that a crashed target is away.
const RESTART: f64 = 20.0;
/// Seconds after which a request that crashes its target does so.
const FUSE: f64 = 1.0;

#[derive(Default)]
struct Target {
    running: BTreeMap<u64, f64>,
    back: f64,
    incarnation: u64,
}

#[derive(Default)]
struct Count {
    faults: u32,
    crashes: u32,
    poison: BTreeSet<u64>,
    bystanders: u32,
    convicted: u32,
}

/// Prints a row for each mix of crashes with and without a cause.
pub fn print() {
    println!(
        "| crashes without cause, each target | poisonous requests | crashes | convicted | \
         targets lost to each | bystanders convicted | for each 1,000 crashes |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (name, per_hour, poison_of) in [
        ("none", 0.0, 5000),
        ("1 an hour", 1.0, 5000),
        ("1 an hour", 1.0, u32::MAX),
        ("20 an hour", 20.0, u32::MAX),
    ] {
        let count = run(per_hour / 3600.0, poison_of);
        let poison = count.poison.len();
        let each = match u32::try_from(poison).unwrap() {
            0 => "-".to_owned(),
            poison => format!("{:.2}", f64::from(count.crashes) / f64::from(poison)),
        };
        let all = count.faults + count.crashes;
        let rate = 1000.0 * f64::from(count.bystanders) / f64::from(all.max(1));
        println!(
            "| {name} | {poison} | {all} | {} | {each} | {} | {rate:.2} |",
            count.convicted, count.bystanders
        );
    }
}

fn run(fault_rate: f64, poison_of: u32) -> Count {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut quarantine = Quarantine::new();
    let mut targets: Vec<Target> = (0..TARGETS).map(|_| Target::default()).collect();
    let mut waiting: Vec<u64> = Vec::new();
    let mut count = Count::default();
    let mut next = 0_u64;
    let mut now = 0.0;
    for _ in 0..STEPS {
        now += STEP;
        if rng.random::<f64>() < RATE * STEP {
            next += 1;
            waiting.push(next);
            if rng.random_range(0..poison_of) == 0 {
                count.poison.insert(next);
            }
        }
        place(&mut rng, &quarantine, &mut targets, &mut waiting, now);
        for (i, target) in targets.iter_mut().enumerate() {
            target.running.retain(|_, began| now - *began < HOLD);
            let fault = rng.random::<f64>() < fault_rate * STEP && now >= target.back;
            let lit = target
                .running
                .iter()
                .any(|(id, began)| now - began >= FUSE && count.poison.contains(id));
            if fault || lit {
                count.faults += u32::from(fault && !lit);
                count.crashes += u32::from(lit);
                crash(&mut quarantine, i, target, &mut waiting, &mut count);
                target.back = now + RESTART;
            }
        }
    }
    count
}

/// Reports a crash; the callers send what ran there again, unless it is
/// convicted.
fn crash(
    quarantine: &mut Quarantine,
    number: usize,
    target: &mut Target,
    waiting: &mut Vec<u64>,
    count: &mut Count,
) {
    let ids: Vec<u64> = std::mem::take(&mut target.running).into_keys().collect();
    let ran: Vec<Fingerprint> = ids.iter().map(|id| fingerprint(*id)).collect();
    target.incarnation += 1;
    let name = format!("t{number}");
    quarantine.crashed(&name, target.incarnation, &ran);
    for id in ids {
        if !quarantine.is_convicted(&fingerprint(id)) {
            waiting.push(id);
        } else if count.poison.contains(&id) {
            count.convicted += 1;
        } else {
            count.bystanders += 1;
        }
    }
}

/// Sends what waits to a random target; a suspect only to one that runs no
/// other.
fn place(
    rng: &mut SmallRng,
    quarantine: &Quarantine,
    targets: &mut [Target],
    waiting: &mut Vec<u64>,
    now: f64,
) {
    waiting.retain(|id| {
        let target = &mut targets[rng.random_range(0..TARGETS)];
        let suspect = quarantine.is_suspect(&fingerprint(*id));
        let mut running = target.running.keys();
        let other = running.any(|id| quarantine.is_suspect(&fingerprint(*id)));
        if target.back > now || suspect && other {
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
