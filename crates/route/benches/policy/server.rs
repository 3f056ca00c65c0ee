//! A target of the run: places, a queue, serial prefill, batched decode.

use std::collections::VecDeque;

pub const SLOTS: u32 = 32;
/// Requests that a target lets wait before it refuses.
const QUEUE: usize = 32;
/// Prompt tokens a second.
pub const PREFILL: f64 = 8000.0;
/// Seconds of a decode step with one request.
pub const STEP: f64 = 0.015;
/// Prefixes that the cache holds.
const CACHE: usize = 30;

/// Number of an attempt in the run.
pub type AttemptId = usize;

#[derive(Debug)]
pub struct Server {
    pub alive: bool,
    pub speed: f64,
    pub running: u32,
    pub queue: VecDeque<Waiting>,
    prefill_free: f64,
    cache: VecDeque<u64>,
    /// Prompt tokens of which the prefill was done.
    pub prefilled: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub attempt: AttemptId,
    pub prompt: u32,
    pub prefix: Option<(u64, u32)>,
}

/// An attempt that got a place.
#[derive(Clone, Copy, Debug)]
pub struct Placed {
    pub attempt: AttemptId,
    /// When its first token is ready.
    pub first: f64,
    /// Prompt tokens that needed a prefill.
    pub tokens: f64,
}

impl Server {
    pub fn new(speed: f64) -> Self {
        Server {
            alive: true,
            speed,
            running: 0,
            queue: VecDeque::new(),
            prefill_free: 0.0,
            cache: VecDeque::new(),
            prefilled: 0.0,
        }
    }

    /// Takes an attempt, or refuses it.
    pub fn take(&mut self, waiting: Waiting) -> bool {
        if self.queue.len() >= QUEUE {
            return false;
        }
        self.queue.push_back(waiting);
        true
    }

    /// Gives the next waiting attempt a place, if there is one.
    pub fn place(&mut self, now: f64) -> Option<Placed> {
        if self.running >= SLOTS {
            return None;
        }
        let waiting = self.queue.pop_front()?;
        self.running += 1;
        let cached = self.use_cache(waiting.prefix);
        let tokens = f64::from(waiting.prompt - cached);
        self.prefilled += tokens;
        let start = self.prefill_free.max(now);
        self.prefill_free = start + tokens / (PREFILL * self.speed);
        Some(Placed {
            attempt: waiting.attempt,
            first: self.prefill_free + self.step(),
            tokens,
        })
    }

    /// Seconds of a step: it grows with the batch.
    pub fn step(&self) -> f64 {
        let fill = f64::from(self.running) / f64::from(SLOTS);
        STEP * (1.0 + 0.8 * fill) / self.speed
    }

    pub fn queued_tokens(&self, now: f64) -> f64 {
        let waiting: u32 = self.queue.iter().map(|waiting| waiting.prompt).sum();
        let backlog = (self.prefill_free - now).max(0.0) * PREFILL * self.speed;
        f64::from(waiting) + backlog
    }

    pub fn die(&mut self) {
        self.alive = false;
        self.running = 0;
        self.queue.clear();
    }

    fn use_cache(&mut self, prefix: Option<(u64, u32)>) -> u32 {
        let Some((hash, tokens)) = prefix else {
            return 0;
        };
        let held = self.cache.iter().position(|held| *held == hash);
        if let Some(at) = held {
            self.cache.remove(at);
        }
        self.cache.push_back(hash);
        if self.cache.len() > CACHE {
            self.cache.pop_front();
        }
        if held.is_some() { tokens } else { 0 }
    }
}
