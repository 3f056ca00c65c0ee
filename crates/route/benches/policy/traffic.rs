//! Generated requests.

use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::case::Case;
use crate::server::{PREFILL, SLOTS, STEP};

pub const ENTRIES: usize = 4;
pub const ACCOUNTS: u32 = 10;
/// The account that sends the flood.
pub const LARGE_ACCOUNT: u32 = 0;
/// Duration of the simulation, in seconds.
pub const DURATION: f64 = 240.0;
/// Mean prompt length, in tokens.
const MEAN_PROMPT: f64 = 800.0;
/// Mean answer length, in tokens.
const MEAN_ANSWER: f64 = 200.0;
/// Length of a common prefix, in tokens.
const PREFIX: u32 = 1500;
const SEED: u64 = 2026;

#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Time of arrival, in seconds.
    pub arrival: f64,
    pub entry: usize,
    pub account: u32,
    /// Prompt length, in tokens.
    pub prompt: u32,
    /// Answer length, in tokens.
    pub answer: u32,
    /// Number of the prefix and its length in tokens.
    pub prefix: Option<(u64, u32)>,
}

/// Returns all requests of a case, in order of arrival. They are the same for each
/// policy.
pub fn requests(case: &Case) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let small = if case.flood > 0.0 || case.name.contains("silent") {
        1..ACCOUNTS
    } else {
        0..ACCOUNTS
    };
    let capacity = capacity(case);
    let mut all = arrivals(&mut rng, case, case.load * capacity, &small);
    if case.flood > 0.0 {
        let large = LARGE_ACCOUNT..LARGE_ACCOUNT + 1;
        all.extend(arrivals(&mut rng, case, case.flood * capacity, &large));
    }
    all.sort_by(|a, b| a.arrival.total_cmp(&b.arrival));
    all
}

/// Capacity of the targets in requests per second, limited by slots or by prefill.
fn capacity(case: &Case) -> f64 {
    let slot_seconds = MEAN_ANSWER * STEP * 1.8;
    let by_slots = f64::from(SLOTS) / slot_seconds;
    let prompt = if case.prefixes > 0 {
        f64::from(PREFIX) / 2.0 + MEAN_PROMPT / 2.0
    } else {
        MEAN_PROMPT
    };
    let per_server = by_slots.min(PREFILL / prompt);
    let servers = f64::from(u32::try_from(case.servers).unwrap());
    let lost = if case.slow_target { 0.75 } else { 0.0 };
    per_server * (servers - lost)
}

fn arrivals(
    rng: &mut SmallRng,
    case: &Case,
    rate: f64,
    accounts: &std::ops::Range<u32>,
) -> Vec<Request> {
    let mut all = Vec::new();
    let mut arrival = 0.0;
    loop {
        arrival += -(1.0 - rng.random::<f64>()).ln() / rate;
        if arrival >= DURATION {
            return all;
        }
        let prefix = (case.prefixes > 0).then(|| (zipf(rng, case.prefixes), PREFIX));
        let scale = if prefix.is_some() { 0.5 } else { 1.0 };
        let own = lognormal(rng, MEAN_PROMPT * scale);
        all.push(Request {
            arrival,
            entry: rng.random_range(0..ENTRIES),
            account: rng.random_range(accounts.clone()),
            prompt: own + prefix.map_or(0, |(_, tokens)| tokens),
            answer: lognormal(rng, MEAN_ANSWER),
            prefix,
        });
    }
}

/// Draws a length from a log-normal distribution with a sigma of 0.8.
fn lognormal(rng: &mut impl Rng, mean: f64) -> u32 {
    const SIGMA: f64 = 0.8;
    let (u, v) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    let value = (mean.ln() - SIGMA * SIGMA / 2.0 + SIGMA * normal).exp();
    to_u32(value.clamp(8.0, 8000.0))
}

/// Draws a rank from a Zipf distribution with exponent 1.
fn zipf(rng: &mut impl Rng, count: u32) -> u64 {
    let top = f64::from(count).ln();
    u64::from(to_u32((rng.random::<f64>() * top).exp()))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are small and positive"
)]
fn to_u32(value: f64) -> u32 {
    value as u32
}
