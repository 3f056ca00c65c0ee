//! Which requests are sent when.

use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::{Call, Mix, Resend};

/// Numbers that reads choose among.
const READ_NUMBERS: u32 = 500;

const THOUSAND: u32 = 1_000;

/// Words of the prompts.
const WORDS: [&str; 8] = [
    "burl",
    "spalted",
    "moisture",
    "defect",
    "smell",
    "gas",
    "stairwell",
    "caller",
];

/// One request of the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// When it is sent, from the begin of the load.
    pub send_after: Duration,
    /// Position of its client account.
    pub account: usize,
    /// What it asks for.
    pub call: Call,
}

/// Requests at random times, of a rate on average: the seed alone decides.
///
/// ```
/// use lovageramp::bench::{Mix, Plan};
///
/// let plan = || Plan::new(Mix::hotline(), &[4, 1], 100.0, 7).take(50);
/// assert!(plan().eq(plan()));
/// ```
pub struct Plan {
    mix: Mix,
    weights: Vec<u32>,
    rate: f64,
    seed: u64,
    rng: StdRng,
    at: Duration,
    number: u64,
}

impl Plan {
    /// Makes the plan; `weights` are the accounts' parts of the load.
    ///
    /// ```
    /// use lovageramp::bench::{Mix, Plan};
    ///
    /// let first = Plan::new(Mix::association(), &[1], 10.0, 1).next().unwrap();
    /// assert_eq!(first.account, 0);
    /// ```
    #[must_use]
    pub fn new(mix: Mix, weights: &[u32], rate: f64, seed: u64) -> Self {
        Plan {
            mix,
            weights: weights.to_vec(),
            rate,
            seed,
            rng: StdRng::seed_from_u64(seed),
            at: Duration::ZERO,
            number: 0,
        }
    }

    fn account(&mut self) -> usize {
        let total: u32 = self.weights.iter().sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        for (position, weight) in self.weights.iter().enumerate() {
            if drawn < *weight {
                return position;
            }
            drawn -= weight;
        }
        0
    }

    fn call(&mut self) -> Call {
        let drawn = self.rng.random_range(0..THOUSAND);
        if drawn < self.mix.chat_per_mille {
            self.chat()
        } else if drawn < self.mix.chat_per_mille + self.mix.read_per_mille {
            let number = self.rng.random_range(0..READ_NUMBERS);
            let (service, path) = (&self.mix.service, self.mix.read_path);
            Call::Read {
                path: format!("/s/{service}{path}{number}"),
            }
        } else {
            self.write()
        }
    }

    fn chat(&mut self) -> Call {
        let tokens = self.rng.random_range(self.mix.answer_tokens.clone());
        let words = self.rng.random_range(self.mix.prompt_words.clone());
        // Each prompt is its own, so that each answer can be told apart.
        let mut prompt = format!("request {} of run {}:", self.number, self.seed);
        for _ in 0..words {
            let word = WORDS[self.rng.random_range(0..WORDS.len())];
            prompt.push(' ');
            prompt.push_str(word);
        }
        let body = json!({
            "model": self.mix.model,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        });
        Call::Chat {
            body: Bytes::from(body.to_string()),
            tokens,
        }
    }

    fn write(&mut self) -> Call {
        let (service, path) = (&self.mix.service, self.mix.write_path);
        let drawn = self.rng.random_range(0..THOUSAND);
        let resend = if drawn < self.mix.resend_per_mille {
            Resend::AfterAnswer
        } else if drawn < self.mix.resend_per_mille + self.mix.race_per_mille {
            Resend::Concurrent
        } else {
            Resend::Never
        };
        let key = format!("{}-{}-{}", self.mix.name, self.seed, self.number);
        Call::Write {
            path: format!("/s/{service}{path}"),
            body: Bytes::from(json!({"number": self.number}).to_string()),
            key,
            resend,
        }
    }
}

impl Iterator for Plan {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        // Gaps of a Poisson process: many callers who know nothing of each
        // other.
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() / self.rate;
        self.at += Duration::from_secs_f64(gap);
        let planned = PlannedRequest {
            send_after: self.at,
            account: self.account(),
            call: self.call(),
        };
        self.number += 1;
        Some(planned)
    }
}
