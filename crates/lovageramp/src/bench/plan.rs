//! The random plan of requests.

use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use super::{Call, Mix, Resend};

/// Number of distinct paths of the reads.
const READ_PATHS: u32 = 500;

const PER_MILLE: u32 = 1_000;

/// Words used in prompts.
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

/// A request of the plan.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRequest {
    /// Send time, from the start of the load.
    pub send_after: Duration,
    /// Index of the client account.
    pub account: usize,
    /// The request to send.
    pub call: Call,
}

/// Iterator over requests with random arrival times at an average rate. The same
/// arguments always produce the same requests.
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
    next_send: Duration,
    /// Number of the next request.
    number: u64,
}

impl Plan {
    /// Creates a plan. `weights` are the relative loads of the client accounts, `rate`
    /// is in requests per second.
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
            next_send: Duration::ZERO,
            number: 0,
        }
    }

    fn pick_account(&mut self) -> usize {
        let total: u32 = self.weights.iter().sum();
        let mut draw = self.rng.random_range(0..total.max(1));
        for (position, weight) in self.weights.iter().enumerate() {
            if draw < *weight {
                return position;
            }
            draw -= weight;
        }
        0
    }

    fn pick_call(&mut self) -> Call {
        let draw = self.rng.random_range(0..PER_MILLE);
        if draw < self.mix.chat_per_mille {
            self.chat()
        } else if draw < self.mix.chat_per_mille + self.mix.read_per_mille {
            let number = self.rng.random_range(0..READ_PATHS);
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
        // Prompts are unique, so that responses can be matched to requests.
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
        let draw = self.rng.random_range(0..PER_MILLE);
        let resend = if draw < self.mix.resend_per_mille {
            Resend::AfterAnswer
        } else if draw < self.mix.resend_per_mille + self.mix.race_per_mille {
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
        // Exponential inter-arrival times: a Poisson process, as produced by many
        // independent callers.
        let uniform: f64 = self.rng.random();
        let gap = -(1.0 - uniform).ln() / self.rate;
        self.next_send += Duration::from_secs_f64(gap);
        let planned = PlannedRequest {
            send_after: self.next_send,
            account: self.pick_account(),
            call: self.pick_call(),
        };
        self.number += 1;
        Some(planned)
    }
}
