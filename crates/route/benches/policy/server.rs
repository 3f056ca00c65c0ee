//! Simulated target with slots, a queue, serial prefill and batched decode.

use std::collections::VecDeque;

pub const SLOTS: u32 = 32;
/// Maximum number of queued requests per target.
const QUEUE: usize = 32;
/// Prefill throughput, in prompt tokens per second.
pub const PREFILL: f64 = 8000.0;
/// Time of a decode step with one request, in seconds.
pub const STEP: f64 = 0.015;
/// Capacity of the prefix cache, in prefixes.
const CACHE: usize = 30;

/// Index of an attempt in the simulation.
pub type AttemptId = usize;

#[derive(Debug)]
pub struct Server {
    pub alive: bool,
    pub speed: f64,
    pub running: u32,
    pub queue: VecDeque<Queued>,
    /// When the prefill queue is empty, in seconds.
    prefill_done_at: f64,
    cache: VecDeque<u64>,
    /// Number of prompt tokens that were prefilled.
    pub prefilled: f64,
}

#[derive(Clone, Copy, Debug)]
pub struct Queued {
    pub attempt: AttemptId,
    pub prompt: u32,
    pub prefix: Option<(u64, u32)>,
}

/// An attempt that got a slot.
#[derive(Clone, Copy, Debug)]
pub struct Started {
    pub attempt: AttemptId,
    /// Time of its first token, in seconds.
    pub first_token_at: f64,
    /// Number of prompt tokens that needed a prefill.
    pub tokens: f64,
}

impl Server {
    pub fn new(speed: f64) -> Self {
        Server {
            alive: true,
            speed,
            running: 0,
            queue: VecDeque::new(),
            prefill_done_at: 0.0,
            cache: VecDeque::new(),
            prefilled: 0.0,
        }
    }

    /// Queues an attempt, and returns whether there was room for it.
    pub fn enqueue(&mut self, attempt: Queued) -> bool {
        if self.queue.len() >= QUEUE {
            return false;
        }
        self.queue.push_back(attempt);
        true
    }

    /// Starts the next queued attempt, if a slot is free.
    pub fn start_next(&mut self, now: f64) -> Option<Started> {
        if self.running >= SLOTS {
            return None;
        }
        let queued = self.queue.pop_front()?;
        self.running += 1;
        let cached = self.use_cache(queued.prefix);
        let tokens = f64::from(queued.prompt - cached);
        self.prefilled += tokens;
        let start = self.prefill_done_at.max(now);
        self.prefill_done_at = start + tokens / (PREFILL * self.speed);
        Some(Started {
            attempt: queued.attempt,
            first_token_at: self.prefill_done_at + self.step(),
            tokens,
        })
    }

    /// Time of a decode step in seconds, which grows with the batch size.
    pub fn step(&self) -> f64 {
        let fill = f64::from(self.running) / f64::from(SLOTS);
        STEP * (1.0 + 0.8 * fill) / self.speed
    }

    pub fn queued_tokens(&self, now: f64) -> f64 {
        let queued: u32 = self.queue.iter().map(|queued| queued.prompt).sum();
        let backlog = (self.prefill_done_at - now).max(0.0) * PREFILL * self.speed;
        f64::from(queued) + backlog
    }

    pub fn fail(&mut self) {
        self.alive = false;
        self.running = 0;
        self.queue.clear();
    }

    fn use_cache(&mut self, prefix: Option<(u64, u32)>) -> u32 {
        let Some((hash, tokens)) = prefix else {
            return 0;
        };
        let cached = self.cache.iter().position(|cached| *cached == hash);
        if let Some(index) = cached {
            self.cache.remove(index);
        }
        self.cache.push_back(hash);
        if self.cache.len() > CACHE {
            self.cache.pop_front();
        }
        if cached.is_some() { tokens } else { 0 }
    }
}
