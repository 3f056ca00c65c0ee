//! Requests, as callers send them.

use rand::rngs::SmallRng;
use rand::{Rng, RngExt, SeedableRng};

use crate::case::Case;
use crate::server::{PREFILL, SLOTS, STEP};

pub const ENTRIES: usize = 4;
pub const ACCOUNTS: u32 = 10;
/// The account that floods.
pub const LARGE: u32 = 0;
/// Seconds of the run.
pub const LENGTH: f64 = 240.0;
const MEAN_PROMPT: f64 = 800.0;
const MEAN_ANSWER: f64 = 200.0;
const PREFIX: u32 = 1500;
const SEED: u64 = 2026;

#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub at: f64,
    pub entry: usize,
    pub account: u32,
    pub prompt: u32,
    pub answer: u32,
    /// Number of the prefix and its tokens.
    pub prefix: Option<(u64, u32)>,
}

/// All requests of a case, in order of time; the same for each policy.
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
        let large = LARGE..LARGE + 1;
        all.extend(arrivals(&mut rng, case, case.flood * capacity, &large));
    }
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// Requests a second that the targets can do, by places or by prefill.
fn capacity(case: &Case) -> f64 {
    let hold = MEAN_ANSWER * STEP * 1.8;
    let places = f64::from(SLOTS) / hold;
    let prompt = if case.prefixes > 0 {
        f64::from(PREFIX) / 2.0 + MEAN_PROMPT / 2.0
    } else {
        MEAN_PROMPT
    };
    let per_server = places.min(PREFILL / prompt);
    let whole = f64::from(u32::try_from(case.servers).unwrap());
    let slow = if case.slow { 0.75 } else { 0.0 };
    per_server * (whole - slow)
}

fn arrivals(
    rng: &mut SmallRng,
    case: &Case,
    rate: f64,
    accounts: &std::ops::Range<u32>,
) -> Vec<Request> {
    let mut all = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= LENGTH {
            return all;
        }
        let prefix = (case.prefixes > 0).then(|| (zipf(rng, case.prefixes), PREFIX));
        let scale = if prefix.is_some() { 0.5 } else { 1.0 };
        let own = lognormal(rng, MEAN_PROMPT * scale);
        all.push(Request {
            at,
            entry: rng.random_range(0..ENTRIES),
            account: rng.random_range(accounts.clone()),
            prompt: own + prefix.map_or(0, |(_, tokens)| tokens),
            answer: lognormal(rng, MEAN_ANSWER),
            prefix,
        });
    }
}

/// Lengths with a long tail: log-normal with a sigma of 0.8.
fn lognormal(rng: &mut impl Rng, mean: f64) -> u32 {
    const SIGMA: f64 = 0.8;
    let (u, v) = (1.0 - rng.random::<f64>(), rng.random::<f64>());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    let value = (mean.ln() - SIGMA * SIGMA / 2.0 + SIGMA * normal).exp();
    to_u32(value.clamp(8.0, 8000.0))
}

/// Ranks by popularity 1/n.
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
